/** One HTTP request of a caller and the answer to it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
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
import { AnswerBuffer } from "./answer_buffer.ts";
import { BodyBuffer, type BodyParts } from "./body_buffer.ts";
import type { CallerConnection } from "./caller_connections.ts";
import { computeHeaderBytes } from "./find_invalid_head.ts";
import { MemoryKind, type MemoryShare } from "./request_memory.ts";

/** Bounds of the rest of a refused request, which is read and discarded. */
const MAX_DISCARDED_BYTES: Bytes = 8 * 1_048_576;
const MAX_DISCARD_TIME: Millis = 3_000;

/** Size of the pieces in which a large answer is sent. */
const SENT_PIECE_BYTES: Bytes = 65_536;

/** Retry-after of a request that was refused since memory is used up. */
const MEMORY_RETRY_AFTER: Millis = 1_000;

/** Connections that close after an answer; what else arrives there is not run. */
const CLOSING_SOCKETS = new WeakSet<Socket>();

/** Whether a connection closes after the answer to an earlier request. */
export function isClosing(socket: Socket): boolean {
  return CLOSING_SOCKETS.has(socket);
}

/** An answer of unknown length that is sent once it is complete. */
interface HeldAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: AnswerBuffer;
}

/** Reads the body of one request and writes one answer. */
export class CallerExchange {
  readonly #incoming: IncomingMessage;
  readonly #outgoing: ServerResponse;
  readonly #connection: CallerConnection;
  /** Memory of the complete body. */
  readonly #bodyShare: MemoryShare;
  /** Memory of what was written and is not sent. */
  readonly #unsentShare: MemoryShare;
  readonly #disconnection = new AbortController();
  /**
   * Answer to a caller of HTTP/1.0, which has no chunks: the end of the
   * connection would look like the regular end of any part of an answer.
   */
  #held: HeldAnswer | undefined;
  /** Whether the answer was ended or its connection destroyed. */
  #isFinished = false;

  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    connection: CallerConnection,
  ) {
    this.#incoming = incoming;
    this.#outgoing = outgoing;
    this.#connection = connection;
    this.#bodyShare = connection.memory.open(MemoryKind.Body);
    this.#unsentShare = connection.memory.open(MemoryKind.Event);
    const headBytes = computeHeaderBytes(incoming.rawHeaders);
    connection.startRequest(headBytes);
    // Without listeners, an error event of a connection that the caller has
    // reset would end the process.
    outgoing.on("error", () => {});
    incoming.on("error", () => {});
    // The caller's end of the connection arrives before the connection closes.
    const { socket } = incoming;
    const handleEnd = () => this.#disconnection.abort();
    socket.once("end", handleEnd);
    outgoing.on("close", () => {
      socket.removeListener("end", handleEnd);
      this.#takeHeld();
      this.#unsentShare.release();
      connection.endRequest(headBytes);
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

  /** Whether an answer has begun: its head was passed to this exchange. */
  get hasSentHead(): boolean {
    return this.#held !== undefined || this.#outgoing.headersSent;
  }

  /**
   * Reads the complete body and keeps it until {@link releaseBody} is called.
   * Refuses a body of more than `maxBytes`, one for which there is no memory,
   * and a caller that sends too slowly or closes the connection.
   */
  readBody(maxBytes: Bytes): Promise<Either<Refusal, BodyParts>> {
    const incoming = this.#incoming;
    const declared = Number(incoming.headers["content-length"] ?? 0);
    if (declared > maxBytes) {
      return Promise.resolve(Left(createRefusal(RefusalKind.BodyTooLarge)));
    }
    // Its end would not be reported.
    if (incoming.destroyed && !incoming.complete) {
      return Promise.resolve(Left(createRefusal(RefusalKind.SlowSender)));
    }
    return new Promise((resolve) => {
      const connection = this.#connection;
      const buffer = new BodyBuffer(connection.memory.blocks);
      const share = connection.memory.open(MemoryKind.Upload, {
        readProgress: () => connection.bodyBytes,
        giveWay: () => refuseForMemory(),
      });
      let isFinished = false;
      const finish = (result: Either<Refusal, BodyParts>) => {
        if (isFinished) return;
        isFinished = true;
        incoming.removeAllListeners("data");
        buffer.discard();
        share.release();
        connection.endBody();
        resolve(result);
      };
      const refuse = (kind: RefusalKind) => finish(Left(createRefusal(kind)));
      const refuseForMemory = () => {
        if (isFinished) return;
        connection.recordOutOfMemory();
        finish(Left(createRefusal(RefusalKind.Overloaded, {
          retryAfter: MEMORY_RETRY_AFTER,
        })));
      };
      connection.startBody(() => refuse(RefusalKind.SlowSender));
      incoming.on("data", (chunk: Buffer) => {
        connection.recordChunk(chunk.length);
        if (buffer.size + chunk.length > maxBytes) {
          return refuse(RefusalKind.BodyTooLarge);
        }
        if (!share.resize(buffer.computeHeld(chunk.length))) {
          return refuseForMemory();
        }
        buffer.push(chunk);
      });
      incoming.on("end", () => {
        if (isFinished) return;
        const { bytes } = share;
        share.release();
        this.#bodyShare.hold(bytes);
        finish(Right(buffer.takeParts()));
      });
      incoming.on("close", () => {
        if (!incoming.complete) refuse(RefusalKind.SlowSender);
      });
    });
  }

  /** Releases the memory of the body, which is not used any more. */
  releaseBody(): void {
    this.#bodyShare.release();
  }

  /**
   * Closes the connection after this answer: further requests that arrive on it
   * would be run without an answer, and are ignored.
   */
  disableKeepAlive(): void {
    this.#outgoing.shouldKeepAlive = false;
    CLOSING_SOCKETS.add(this.#incoming.socket);
  }

  /**
   * Sends a refusal, also in place of a held answer. If the head of an answer
   * was already sent, closes the connection instead.
   */
  refuse(
    refusal: Refusal,
    input: {
      readonly dialect: Pick<Dialect, "formatOwnAnswer">;
      readonly requestId?: string;
    },
  ): void {
    this.#takeHeld();
    if (this.#isFinished || this.hasSentHead) return this.destroy();
    const { retryAfter } = refusal;
    const ownHeaders = input.dialect.formatOwnAnswer({
      ...(input.requestId === undefined ? {} : { requestId: input.requestId }),
      ...(retryAfter === undefined ? {} : { retryAfter }),
    });
    const { "retry-after": _, ...refusalHeaders } = createRefusalHeaders(
      refusal,
    );
    const body = formatRefusalBody(refusal);
    const isRead = this.#incoming.complete;
    // The rest of an unread body must not be parsed as the next request.
    if (!isRead) this.disableKeepAlive();
    this.#outgoing.writeHead(readRefusalStatus(refusal), [
      ...Object.entries(refusalHeaders).flat(),
      ...ownHeaders,
      "content-length",
      String(Buffer.byteLength(body)),
    ]);
    this.#isFinished = true;
    if (isRead) return void this.#outgoing.end(body);
    this.#outgoing.write(body);
    this.#discardRest();
  }

  /**
   * Reads the rest of the request, within bounds, before the connection closes.
   * The kernel resets one that is closed with unread bytes, and a caller that is
   * still sending would lose the refusal.
   */
  #discardRest(): void {
    const incoming = this.#incoming;
    const connection = this.#connection;
    const finish = () => {
      clearTimeout(timer);
      incoming.removeListener("data", count);
      connection.endDiscarding();
      this.#outgoing.end();
    };
    let size = 0;
    connection.startDiscarding();
    const count = (chunk: Buffer) => {
      connection.recordChunk(chunk.length);
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) finish();
    };
    const timer = setTimeout(finish, MAX_DISCARD_TIME);
    incoming.on("data", count);
    incoming.once("end", finish);
    incoming.once("close", finish);
  }

  /**
   * Sends a complete answer of a target. Throws on a head that is not valid in
   * HTTP; a refusal may be sent in its place then.
   */
  sendComplete(
    answer: {
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Uint8Array;
    },
  ): void {
    if (this.#isFinished || this.hasSentHead) return;
    this.#outgoing.writeHead(answer.status, [
      ...answer.headers,
      "content-length",
      String(answer.body.length),
    ]);
    this.#isFinished = true;
    void this.#sendBody(answer.body);
  }

  /**
   * Sends a body in pieces, so that it is seen whether the caller reads it: one
   * that reads slowly keeps it in memory until then.
   */
  async #sendBody(body: Uint8Array): Promise<void> {
    const outgoing = this.#outgoing;
    if (body.length <= SENT_PIECE_BYTES) {
      this.#unsentShare.hold(body.length);
      return void outgoing.end(body);
    }
    let sent = 0;
    const share = this.#connection.memory.open(MemoryKind.Answer, {
      readProgress: () => sent,
      giveWay: () => {
        share.release();
        this.#connection.recordOutOfMemory();
        outgoing.destroy();
      },
    });
    share.hold(body.length);
    outgoing.once("close", () => share.release());
    for (
      ;
      sent < body.length && !this.isDisconnected;
      sent += SENT_PIECE_BYTES
    ) {
      const piece = body.subarray(sent, sent + SENT_PIECE_BYTES);
      if (!outgoing.write(piece)) await this.waitDrain();
    }
    outgoing.end();
  }

  /** Sends the head of an answer of unknown length, unless already sent. */
  sendHead(status: number, headers: HeaderList): void {
    if (this.hasSentHead || this.isDisconnected) return;
    if (this.#incoming.httpVersion === "1.0") {
      const body = new AnswerBuffer(this.#connection.memory);
      this.#held = { status, headers, body };
      return;
    }
    this.#outgoing.writeHead(status, [...headers]);
  }

  /**
   * Writes a chunk of the answer. Returns false if the buffer is full and the
   * sender should await {@link waitDrain}.
   */
  write(bytes: Buffer): boolean {
    if (this.#held !== undefined) {
      if (this.#held.body.push(bytes) !== undefined) this.destroy();
      return true;
    }
    if (this.#outgoing.write(bytes)) return true;
    this.#unsentShare.hold(this.#outgoing.writableLength);
    return false;
  }

  /** Resolves when the write buffer is empty or the caller has disconnected. */
  waitDrain(): Promise<void> {
    return new Promise((resolve) => {
      if (this.isDisconnected) return resolve();
      const { signal } = this.#disconnection;
      const finish = () => {
        this.#outgoing.removeListener("drain", finish);
        this.#unsentShare.release();
        signal.removeEventListener("abort", finish);
        resolve();
      };
      this.#outgoing.once("drain", finish);
      signal.addEventListener("abort", finish);
    });
  }

  /** Ends a complete answer. */
  end(): void {
    if (this.#isFinished) return;
    const held = this.#takeHeld();
    if (held !== undefined) return this.sendComplete(held);
    this.#isFinished = true;
    this.#outgoing.end();
  }

  /** Returns the held answer, if there is one, and releases its memory. */
  #takeHeld():
    | (Omit<HeldAnswer, "body"> & { readonly body: Buffer })
    | undefined {
    const held = this.#held;
    if (held === undefined) return undefined;
    this.#held = undefined;
    return { ...held, body: held.body.close() };
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
