/**
 * HTTP adapter for targets: model engines with the OpenAI chat completions
 * protocol over server-sent events, and plain services.
 *
 * Request bodies set `stream_options.include_usage`. A chunk without usage
 * counts as one token; a chunk with usage raises the count to the reported
 * total.
 */
import type { IncomingMessage } from "node:http";
import { createParser } from "eventsource-parser";
import { z } from "zod";
import type { Clock, Millis, TargetConfig, Tokens } from "../core/mod.ts";
import { ConnectionPools } from "./connection_pools.ts";
import {
  describeError,
  type HttpFailure,
  MAX_ANSWER_BYTES,
  MIN_FINAL_STATUS,
  sendJsonRequest,
  sendRequest,
  startExchange,
} from "./http_client.ts";
import {
  AttemptEnd,
  type ChunkSink,
  type EngineOrder,
  type TargetCall,
  type TargetLoadReport,
  type TargetPort,
  type TargetResult,
  type TokenUsage,
} from "./target_port.ts";

/** Data of the last server-sent event of a complete engine stream. */
export const STREAM_END = "[DONE]";

const USAGE_SCHEMA = z.object({
  usage: z.object({
    prompt_tokens: z.number().int().nonnegative(),
    completion_tokens: z.number().int().nonnegative(),
  }).nullish(),
});

const LOAD_SCHEMA = z.object({
  running: z.number().nonnegative(),
  queued: z.number().nonnegative(),
  leaving: z.boolean(),
  models: z.array(z.string()),
});

const EMPTY_BODY = new Uint8Array();

/**
 * Maximum time to connect to a target for a request; some round trips, or one
 * retransmission of a lost packet at short distance.
 */
const CONNECT_TIMEOUT: Millis = 1_000;

/** Calls targets over HTTP, with one connection pool per target. */
export class HttpTargets implements TargetPort {
  readonly #pools: ConnectionPools;

  constructor(clock: Clock) {
    this.#pools = new ConnectionPools(clock);
  }

  /** Removes the connection pool of a target that cannot be reached. */
  dropPool(target: string): void {
    this.#pools.dropPool(target);
  }

  /** Closes every idle connection. */
  close(): void {
    this.#pools.dropAll();
  }

  async stream(call: TargetCall, sink: ChunkSink): Promise<TargetResult> {
    const started = await startExchange(this.#createRequest(call));
    if (started.isLeft()) {
      return createFailedResult(call, started.extract() as HttpFailure);
    }
    const incoming = started.unsafeCoerce();
    if (incoming.statusCode !== 200) return await readError(call, incoming);
    return await new StreamReader(call, sink).read(incoming);
  }

  async call(call: TargetCall): Promise<TargetResult> {
    const answer = await sendRequest(this.#createRequest(call));
    return answer.caseOf({
      Left: (failure) => createFailedResult(call, failure),
      Right: (received) => ({
        end: classifyStatus(received.status),
        status: received.status,
        contentType: received.headers["content-type"] ?? "application/json",
        body: received.body,
        bytesSent: call.body.length,
        bytesReceived: received.body.length,
        detail: `status ${received.status}`,
      }),
    });
  }

  async cancel(
    target: TargetConfig,
    options: { readonly streamId: string; readonly timeout: Millis },
  ): Promise<TokenUsage | undefined> {
    const path = `/v1/streams/${encodeURIComponent(options.streamId)}/cancel`;
    const answer = await sendJsonRequest({
      method: "POST",
      url: `${target.url}${path}`,
      headers: { connection: "close" },
      idleTimeout: options.timeout,
      connectTimeout: options.timeout,
    });
    return answer.map((received) => parseUsage(JSON.stringify(received.body)))
      .toMaybe().extract();
  }

  async order(target: TargetConfig, order: EngineOrder): Promise<boolean> {
    const { type, name, fence, timeout } = order;
    const answer = await sendJsonRequest({
      method: "POST",
      url: `${target.url}/v1/orders`,
      headers: { connection: "close", "x-fencing-number": String(fence) },
      body: JSON.stringify({ type, name }),
      idleTimeout: timeout,
      connectTimeout: timeout,
    });
    return answer.map((received) => received.status === 200).orDefault(false);
  }

  async probe(
    target: TargetConfig,
    timeout: Millis,
  ): Promise<TargetLoadReport | undefined> {
    // Without the pooled agent, every probe makes a new connection.
    const answer = await sendJsonRequest({
      method: "GET",
      url: `${target.url}/load`,
      headers: { connection: "close" },
      idleTimeout: timeout,
      connectTimeout: timeout,
    });
    return answer.map((received) => LOAD_SCHEMA.safeParse(received.body).data)
      .toMaybe().extract();
  }

  #createRequest(call: TargetCall) {
    return {
      method: "POST" as const,
      url: `${call.target.url}${call.path}`,
      headers: createHeaders(call),
      body: call.body,
      idleTimeout: call.progressTimeout,
      connectTimeout: CONNECT_TIMEOUT,
      agent: this.#pools.getAgent(call.target.id),
      signal: call.signal,
    };
  }
}

function createHeaders(call: TargetCall): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "x-request-digest": call.digest,
    "x-priority": call.priority,
  };
  if (call.requestKey !== undefined) {
    headers["idempotency-key"] = call.requestKey;
  }
  if (call.streamId !== undefined) headers["x-stream-id"] = call.streamId;
  if (call.resume !== undefined) {
    headers["x-resume-stream"] = call.resume.streamId;
    headers["x-resume-position"] = String(call.resume.position);
  }
  return headers;
}

/** Reads one engine stream and forwards its chunks to the sink in order. */
class StreamReader {
  readonly #call: TargetCall;
  readonly #sink: ChunkSink;
  readonly #events: string[] = [];
  #position: number;
  #outputTokens: Tokens = 0;
  #usage: TokenUsage | undefined;
  #receivedBytes = 0;
  #isComplete = false;

  constructor(call: TargetCall, sink: ChunkSink) {
    this.#call = call;
    this.#sink = sink;
    this.#position = call.resume?.position ?? 0;
    // The usage counts of a resumed stream include its earlier chunks.
    this.#outputTokens = call.resume?.tokens ?? 0;
  }

  async read(incoming: IncomingMessage): Promise<TargetResult> {
    const parser = createParser({
      onEvent: (event) => void this.#events.push(event.data),
      maxBufferSize: MAX_ANSWER_BYTES,
    });
    const decoder = new TextDecoder();
    try {
      for await (const part of incoming) {
        this.#receivedBytes += (part as Buffer).length;
        parser.feed(decoder.decode(part as Buffer, { stream: true }));
        await this.#forwardEvents();
      }
    } catch (error) {
      return this.#createResult(
        this.#call.signal.aborted ? AttemptEnd.Cancelled : AttemptEnd.Broken,
        describeError(error),
      );
    }
    const end = this.#isComplete ? AttemptEnd.Complete : AttemptEnd.Broken;
    return this.#createResult(
      end,
      this.#isComplete ? "complete" : "interrupted",
    );
  }

  async #forwardEvents(): Promise<void> {
    for (const data of this.#events.splice(0)) {
      if (data === STREAM_END) this.#isComplete = true;
      else await this.#forwardChunk(data);
    }
  }

  async #forwardChunk(data: string): Promise<void> {
    const usage = parseUsage(data);
    const before = this.#outputTokens;
    if (usage === undefined) this.#outputTokens += 1;
    else {
      this.#usage = usage;
      this.#outputTokens = Math.max(before, usage.outputTokens);
    }
    const position = this.#position++;
    const tokens = this.#outputTokens - before;
    await this.#sink({ position, data, tokens });
  }

  #createResult(end: AttemptEnd, detail: string): TargetResult {
    return {
      end,
      status: 200,
      contentType: "text/event-stream",
      body: EMPTY_BODY,
      ...(this.#usage === undefined ? {} : { usage: this.#usage }),
      bytesSent: this.#call.body.length,
      bytesReceived: this.#receivedBytes,
      detail,
    };
  }
}

function parseUsage(data: string): TokenUsage | undefined {
  // Most chunks have no usage; this check avoids parsing their JSON.
  if (!data.includes('"usage"')) return undefined;
  try {
    const usage = USAGE_SCHEMA.parse(JSON.parse(data)).usage;
    if (usage === null || usage === undefined) return undefined;
    return {
      promptTokens: usage.prompt_tokens,
      outputTokens: usage.completion_tokens,
    };
  } catch {
    return undefined;
  }
}

/**
 * Classifies an HTTP status. With 429 or 503 the target states that it did not
 * run the request. After any other status from 500 up, or one that no final
 * answer has, it may have run.
 */
function classifyStatus(status: number): AttemptEnd {
  if (status === 429 || status === 503) return AttemptEnd.Refused;
  return status >= 500 || status < MIN_FINAL_STATUS
    ? AttemptEnd.Broken
    : AttemptEnd.Complete;
}

async function readError(
  call: TargetCall,
  incoming: IncomingMessage,
): Promise<TargetResult> {
  const parts: Buffer[] = [];
  try {
    for await (const part of incoming) parts.push(part as Buffer);
  } catch (error) {
    return createFailedResult(call, {
      sent: true,
      cancelled: call.signal.aborted,
      detail: describeError(error),
    });
  }
  const status = incoming.statusCode ?? 0;
  const body = Buffer.concat(parts);
  return {
    end: classifyStatus(status),
    status,
    contentType: incoming.headers["content-type"] ?? "application/json",
    body,
    bytesSent: call.body.length,
    bytesReceived: body.length,
    detail: `status ${status}`,
  };
}

function createFailedResult(
  call: TargetCall,
  failure: HttpFailure,
): TargetResult {
  const end = !failure.sent
    ? AttemptEnd.NotSent
    : failure.cancelled
    ? AttemptEnd.Cancelled
    : AttemptEnd.Broken;
  return {
    end,
    body: EMPTY_BODY,
    bytesSent: failure.sent ? call.body.length : 0,
    bytesReceived: 0,
    detail: failure.detail,
  };
}
