/** Writes the answer of a run to a caller's HTTP response. */
import type { ServerResponse } from "node:http";
import { type Millis, type Refusal, RequestOutcome } from "../../core/mod.ts";
import { STREAM_END } from "../../ports/mod.ts";
import type { RequestRun, RunEnd } from "./request_run.ts";
import {
  createRefusalHeaders,
  formatRefusalBody,
  readRefusalStatus,
} from "../../runtime/mod.ts";

/**
 * Maximum time for which the write buffer of a caller's connection may stay
 * full, in milliseconds. The connection is then closed.
 */
export const MAX_CALLER_STALL: Millis = 60_000;

/** Callbacks by which the progress of an answer is recorded. */
export interface AnswerObserver {
  /** Called before the head of a streamed answer is written. */
  onFirstChunk(): void;
  /** Called once; with undefined when the caller disconnected before the end. */
  onEnd(end: RunEnd | undefined): void;
}

/** Writes a refusal as the HTTP response, unless its head was already sent. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent) return;
  const body = formatRefusalBody(refusal);
  response.writeHead(readRefusalStatus(refusal), {
    ...createRefusalHeaders(refusal),
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Writes the answer of a run as it grows, until it ends or the caller disconnects. */
export class AnswerWriter {
  readonly #response: ServerResponse;
  readonly #run: RequestRun;
  readonly #stream: boolean;
  readonly #observer: AnswerObserver;
  readonly #removeListener: () => void;
  #written = 0;
  #blocked = false;
  #ended = false;
  #stallTimer: NodeJS.Timeout | undefined;

  constructor(
    response: ServerResponse,
    input: {
      readonly run: RequestRun;
      readonly stream: boolean;
      readonly observer: AnswerObserver;
    },
  ) {
    this.#response = response;
    this.#run = input.run;
    this.#stream = input.stream;
    this.#observer = input.observer;
    this.#removeListener = this.#run.addListener(() => this.#writeAvailable());
    response.on("drain", () => this.#unblock());
    response.on("close", () => this.#handleClose());
    this.#writeAvailable();
  }

  #writeAvailable(): void {
    if (this.#ended || this.#blocked) return;
    if (this.#stream) this.#writeChunks();
    const end = this.#run.readEnd();
    if (end === undefined || this.#blocked) return;
    this.#ended = true;
    this.#observer.onEnd(end);
    this.#removeListener();
    this.#writeEnd(end);
  }

  #writeChunks(): void {
    const chunks = this.#run.readChunks();
    while (this.#written < chunks.length && !this.#blocked) {
      if (this.#written === 0) this.#startStream();
      const chunk = chunks[this.#written++] ?? "";
      const writable = this.#response.write(`data: ${chunk}\n\n`);
      if (!writable) this.#block();
    }
    this.#run.recordWritten(this.#written);
  }

  #startStream(): void {
    this.#observer.onFirstChunk();
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      trailer: "x-anvilrail-outcome",
    });
  }

  #block(): void {
    this.#blocked = true;
    this.#stallTimer = setTimeout(
      () => this.#response.destroy(),
      MAX_CALLER_STALL,
    );
  }

  #unblock(): void {
    clearTimeout(this.#stallTimer);
    this.#blocked = false;
    this.#writeAvailable();
  }

  #handleClose(): void {
    clearTimeout(this.#stallTimer);
    if (this.#ended) return;
    this.#ended = true;
    this.#observer.onEnd(undefined);
    this.#removeListener();
  }

  #writeEnd(end: RunEnd): void {
    if (end.type === "refused") return this.#writeRefusedEnd(end.refusal);
    if (end.type === "answered") return this.#writePlainAnswer(end);
    if (!this.#stream) return this.#writeCompletion();
    if (!this.#response.headersSent) this.#startStream();
    const outcome = RequestOutcome.Ran;
    this.#response.write(`: outcome=${outcome}\n\ndata: ${STREAM_END}\n\n`);
    this.#response.addTrailers({ "x-anvilrail-outcome": outcome });
    this.#response.end();
  }

  #writeRefusedEnd(refusal: Refusal): void {
    if (!this.#response.headersSent) {
      return writeRefusal(this.#response, refusal);
    }
    // The head is already sent, so the refusal is the last event of the stream.
    this.#response.write(`data: ${formatRefusalBody(refusal)}\n\n`);
    this.#response.addTrailers({ "x-anvilrail-outcome": refusal.outcome });
    this.#response.end();
  }

  #writePlainAnswer(end: RunEnd & { type: "answered" }): void {
    this.#response.writeHead(end.status, {
      "content-type": end.contentType,
      "content-length": end.body.length,
      "x-anvilrail-outcome": RequestOutcome.Ran,
    });
    this.#response.end(end.body);
  }

  #writeCompletion(): void {
    const body = assembleCompletion(this.#run.readChunks());
    this.#response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "x-anvilrail-outcome": RequestOutcome.Ran,
    });
    this.#response.end(body);
  }
}

interface CompletionChunk {
  readonly id?: string;
  readonly created?: number;
  readonly model?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: unknown;
}

/** Returns the chunks of a stream joined into one chat completion, as JSON. */
export function assembleCompletion(chunks: readonly string[]): string {
  let content = "";
  let finishReason: string | null = null;
  let usage: unknown = undefined;
  let first: CompletionChunk | undefined;
  for (const data of chunks) {
    const chunk = JSON.parse(data) as CompletionChunk;
    first ??= chunk;
    const choice = chunk.choices?.[0];
    content += choice?.delta?.content ?? "";
    finishReason = choice?.finish_reason ?? finishReason;
    usage = chunk.usage ?? usage;
  }
  return JSON.stringify({
    id: first?.id,
    object: "chat.completion",
    created: first?.created,
    model: first?.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finishReason,
    }],
    usage,
  });
}
