/** One HTTP request of a caller and the answer to it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import {
  type Bytes,
  type Millis,
  type Refusal,
  RefusalKind,
} from "../../core/mod.ts";
import {
  createRefusal,
  createRefusalHeaders,
  formatRefusalBody,
  readRefusalStatus,
} from "../../runtime/mod.ts";
import type { Dialect, HeaderList } from "../dialect.ts";

/** Reads the body of one request and writes one answer. */
export class CallerExchange {
  readonly #incoming: IncomingMessage;
  readonly #outgoing: ServerResponse;
  readonly #disconnection = new AbortController();
  /** Whether the answer was ended or its connection destroyed. */
  #isFinished = false;

  constructor(incoming: IncomingMessage, outgoing: ServerResponse) {
    this.#incoming = incoming;
    this.#outgoing = outgoing;
    // Without listeners, an error event of a connection that the caller has
    // reset would end the process.
    outgoing.on("error", () => {});
    incoming.on("error", () => {});
    outgoing.on("close", () => {
      if (!outgoing.writableFinished) this.#disconnection.abort();
    });
  }

  /** Aborted when the caller's connection closes before the answer is sent. */
  get disconnectSignal(): AbortSignal {
    return this.#disconnection.signal;
  }

  /** Whether the caller's connection closed before the answer was sent. */
  get isDisconnected(): boolean {
    return this.#disconnection.signal.aborted;
  }

  /** Whether the status and headers of an answer have been sent. */
  get hasSentHead(): boolean {
    return this.#outgoing.headersSent;
  }

  /**
   * Reads the complete body. Refuses a body of more than `maxBytes`, and a
   * caller that sends nothing for `idle` or closes the connection.
   */
  readBody(
    limits: { readonly maxBytes: Bytes; readonly idle: Millis },
  ): Promise<Either<Refusal, Buffer>> {
    const incoming = this.#incoming;
    const declared = Number(incoming.headers["content-length"] ?? 0);
    if (declared > limits.maxBytes) {
      return Promise.resolve(Left(createRefusal(RefusalKind.BodyTooLarge)));
    }
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      const finish = (result: Either<Refusal, Buffer>) => {
        clearTimeout(idleTimer);
        incoming.removeAllListeners("data");
        resolve(result);
      };
      let idleTimer = setTimeout(refuseSlowSender, limits.idle);
      function refuseSlowSender(): void {
        finish(Left(createRefusal(RefusalKind.SlowSender)));
      }
      incoming.on("data", (chunk: Buffer) => {
        clearTimeout(idleTimer);
        idleTimer = setTimeout(refuseSlowSender, limits.idle);
        size += chunk.length;
        if (size > limits.maxBytes) {
          return finish(Left(createRefusal(RefusalKind.BodyTooLarge)));
        }
        chunks.push(chunk);
      });
      incoming.on("end", () => finish(Right(Buffer.concat(chunks))));
      incoming.on("close", () => {
        if (!incoming.complete) {
          finish(Left(createRefusal(RefusalKind.SlowSender)));
        }
      });
    });
  }

  /** Asks the caller to close the connection after this answer. */
  disableKeepAlive(): void {
    this.#outgoing.shouldKeepAlive = false;
  }

  /**
   * Sends a refusal. If the head of an answer was already sent, closes the
   * connection instead.
   */
  refuse(
    refusal: Refusal,
    input: { readonly dialect: Dialect; readonly requestId?: string },
  ): void {
    if (this.#isFinished || this.hasSentHead) return this.destroy();
    this.#isFinished = true;
    const { retryAfter } = refusal;
    const ownHeaders = input.dialect.formatOwnAnswer({
      ...(input.requestId === undefined ? {} : { requestId: input.requestId }),
      ...(retryAfter === undefined ? {} : { retryAfter }),
    });
    const { "retry-after": _, ...refusalHeaders } = createRefusalHeaders(
      refusal,
    );
    const body = formatRefusalBody(refusal);
    // The rest of an unread body must not be parsed as the next request.
    if (!this.#incoming.complete) this.#outgoing.shouldKeepAlive = false;
    this.#outgoing.writeHead(readRefusalStatus(refusal), [
      ...Object.entries(refusalHeaders).flat(),
      ...ownHeaders,
      "content-length",
      String(Buffer.byteLength(body)),
    ]);
    this.#outgoing.end(body);
  }

  /** Sends a complete answer of a target. */
  sendComplete(
    answer: {
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    },
  ): void {
    if (this.#isFinished || this.hasSentHead) return;
    this.#isFinished = true;
    this.#outgoing.writeHead(answer.status, [
      ...answer.headers,
      "content-length",
      String(answer.body.length),
    ]);
    this.#outgoing.end(answer.body);
  }

  /** Sends the head of an answer of unknown length, unless already sent. */
  sendHead(status: number, headers: HeaderList): void {
    if (this.hasSentHead) return;
    this.#outgoing.writeHead(status, [...headers]);
  }

  /**
   * Writes a chunk of the answer. Returns false if the buffer is full and the
   * sender should await {@link waitDrain}.
   */
  write(bytes: Uint8Array): boolean {
    return this.#outgoing.write(bytes);
  }

  /** Resolves when the write buffer is empty or the caller has disconnected. */
  waitDrain(): Promise<void> {
    return new Promise((resolve) => {
      if (this.isDisconnected) return resolve();
      this.#outgoing.once("drain", resolve);
      this.#disconnection.signal.addEventListener("abort", () => resolve(), {
        once: true,
      });
    });
  }

  /** Ends a complete answer. */
  end(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#outgoing.end();
  }

  /**
   * Closes the connection, so that the caller can't mistake a partial answer
   * for a complete one.
   */
  destroy(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#outgoing.destroy();
  }
}
