/**
 * Sends requests over keep-alive connections and records results and latency.
 */
import {
  Agent,
  type IncomingMessage,
  request as startRequest,
} from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { Histogram } from "../harness/histogram.ts";

/** URL, headers and bodies of the requests of a load run. */
export interface RequestTemplate {
  readonly url: string;
  /** Returns the URL of the n-th request; `url` is used if absent. */
  readonly chooseUrl?: (index: number) => string;
  readonly headers: Readonly<Record<string, string>>;
  /** Returns the body of the n-th request. */
  readonly createBody: (index: number) => string;
  /** Returns headers that differ between requests, such as the request key. */
  readonly createHeaders?: (index: number) => Readonly<Record<string, string>>;
}

/** Results of one load run; latencies are in milliseconds. */
export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  readonly seconds: number;
  readonly latency: Histogram;
  /** Time from the sending of a chunk by the target until its arrival. */
  readonly chunkLatency: Histogram;
  readonly chunks: number;
  /** Message of the first failure. */
  readonly firstFailure?: string;
}

const CHUNK_TIME = /t(\d{6,})t/g;
const MICROS_PER_MILLI = 1_000;

/** Collects the results of one load run. */
class LoadRecorder {
  readonly latency = new Histogram();
  readonly chunkLatency = new Histogram();
  requests = 0;
  failures = 0;
  chunks = 0;
  firstFailure: string | undefined;

  /** Records every chunk in the text by the time of sending it contains. */
  recordText(text: string): void {
    const now = Number(process.hrtime.bigint() / 1_000n);
    for (const [, micros] of text.matchAll(CHUNK_TIME)) {
      this.chunks++;
      this.chunkLatency.record((now - Number(micros)) / MICROS_PER_MILLI);
    }
  }

  recordEnd(start: number, failure: string | undefined): void {
    this.requests++;
    this.latency.record(performance.now() - start);
    if (failure === undefined) return;
    this.failures++;
    this.firstFailure ??= failure;
  }

  createResult(start: number): LoadResult {
    const { latency, chunkLatency, requests, failures, chunks } = this;
    const seconds = (performance.now() - start) / 1_000;
    const common = {
      latency,
      chunkLatency,
      requests,
      failures,
      chunks,
      seconds,
    };
    return this.firstFailure === undefined
      ? common
      : { ...common, firstFailure: this.firstFailure };
  }
}

/** Keeps a constant number of requests in flight for a duration. */
export async function runClosedLoop(
  template: RequestTemplate,
  options: { readonly connections: number; readonly millis: number },
): Promise<LoadResult> {
  const agent = createAgent(options.connections);
  const recorder = new LoadRecorder();
  const start = performance.now();
  let index = 0;
  const workers = Array.from({ length: options.connections }, async () => {
    while (performance.now() - start < options.millis) {
      await sendRequest(template, { agent, recorder, index: index++ });
    }
  });
  await Promise.all(workers);
  agent.destroy();
  return recorder.createResult(start);
}

/**
 * Sends requests at a fixed rate, whether or not earlier ones have completed.
 */
export async function runOpenLoop(
  template: RequestTemplate,
  options: { readonly perSecond: number; readonly millis: number },
): Promise<LoadResult> {
  const agent = createAgent(Infinity);
  const recorder = new LoadRecorder();
  const start = performance.now();
  const pending: Promise<void>[] = [];
  const total = Math.floor(options.perSecond * options.millis / 1_000);
  for (let index = 0; index < total; index++) {
    const due = start + index * 1_000 / options.perSecond;
    const delay = due - performance.now();
    if (delay > 1) await wait(delay);
    pending.push(sendRequest(template, { agent, recorder, index }));
  }
  await Promise.all(pending);
  agent.destroy();
  return recorder.createResult(start);
}

/** Streams that stay open until they are closed. */
export interface OpenStreams {
  readonly opened: number;
  readonly failures: number;
  close(): Promise<void>;
}

/** Streams opened at once; limited so that no listen backlog overflows. */
const OPEN_BATCH_SIZE = 50;

/** Opens streams and resolves when each has received a chunk or failed. */
export async function startStreams(
  template: RequestTemplate,
  count: number,
): Promise<OpenStreams> {
  const agent = createAgent(Infinity);
  const open: IncomingMessage[] = [];
  let failures = 0;
  for (let first = 0; first < count; first += OPEN_BATCH_SIZE) {
    const size = Math.min(OPEN_BATCH_SIZE, count - first);
    await Promise.all(Array.from({ length: size }, async (_, offset) => {
      try {
        const answer = await openRequest(template, {
          agent,
          index: first + offset,
        });
        if (answer.statusCode !== 200) throw new Error("refused");
        await new Promise<void>((resolve, reject) => {
          answer.once("error", reject);
          answer.once("data", () => resolve());
        });
        answer.on("error", () => {});
        open.push(answer);
      } catch {
        failures++;
      }
    }));
  }
  return {
    opened: open.length,
    failures,
    close: async () => {
      for (const answer of open) answer.destroy();
      agent.destroy();
      await wait(200);
    },
  };
}

function createAgent(connections: number): Agent {
  return new Agent({
    keepAlive: true,
    maxSockets: connections,
    maxFreeSockets: 1_024,
  });
}

/** Sends one request, reads its response to the end and records the result. */
async function sendRequest(
  template: RequestTemplate,
  input: {
    readonly agent: Agent;
    readonly recorder: LoadRecorder;
    readonly index: number;
  },
): Promise<void> {
  const { recorder } = input;
  const start = performance.now();
  try {
    const answer = await openRequest(template, input);
    let last = "";
    answer.setEncoding("utf8");
    for await (const text of answer) {
      recorder.recordText(text as string);
      last = text as string;
    }
    const ok = answer.statusCode === 200 && answer.complete;
    const failure = ok ? undefined : `status ${answer.statusCode}: ${last}`;
    recorder.recordEnd(start, failure);
  } catch (error) {
    recorder.recordEnd(start, String(error));
  }
}

/** Sends one request and resolves with the response once its headers arrive. */
function openRequest(
  template: RequestTemplate,
  input: { readonly agent: Agent; readonly index: number },
): Promise<IncomingMessage> {
  const body = template.createBody(input.index);
  return new Promise((resolve, reject) => {
    const url = template.chooseUrl?.(input.index) ?? template.url;
    const outgoing = startRequest(url, {
      method: "POST",
      agent: input.agent,
      headers: {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        ...template.headers,
        ...template.createHeaders?.(input.index),
      },
    });
    outgoing.once("response", resolve);
    outgoing.on("error", reject);
    outgoing.end(body);
  });
}
