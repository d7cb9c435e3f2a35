/**
 * Writes log lines to a file descriptor without blocking the process. Writes
 * run on another thread, the buffer of pending lines is bounded, and lines that
 * do not fit are dropped and counted.
 */
import { write } from "node:fs";
import { Writable } from "node:stream";
import type { Bytes, Millis } from "../core/mod.ts";

/**
 * Maximum number of bytes that wait for a slow reader; enough for a few seconds
 * of normal logging.
 */
const MAX_PENDING_BYTES: Bytes = 262_144;

/** Delay before retrying a write that failed with EAGAIN. */
const RETRY_PAUSE: Millis = 20;

/** Writes bytes and reports how many of them were written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Buffers lines and writes them in order. Never blocks and never throws. */
export class LineSink {
  readonly #write: WriteBytes;
  readonly #maxPendingBytes: Bytes;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #droppedLines = 0;
  #emptyWaiters: (() => void)[] = [];

  constructor(
    options: { readonly write: WriteBytes; readonly maxPendingBytes?: Bytes },
  ) {
    this.#write = options.write;
    this.#maxPendingBytes = options.maxPendingBytes ?? MAX_PENDING_BYTES;
  }

  /** Returns the number of dropped lines since the last call. */
  takeDroppedCount(): number {
    const count = this.#droppedLines;
    this.#droppedLines = 0;
    return count;
  }

  /** Adds a line, or drops it if the buffer is full. */
  push(line: string): void {
    const bytes = Buffer.from(line, "utf8");
    if (this.#pendingBytes + bytes.length > this.#maxPendingBytes) {
      this.#droppedLines++;
      return;
    }
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    this.#start();
  }

  /** Resolves when all pending lines were written or discarded. */
  waitUntilEmpty(): Promise<void> {
    if (!this.#isWriting && this.#pending.length === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => this.#emptyWaiters.push(resolve));
  }

  #start(): void {
    if (this.#isWriting || this.#pending.length === 0) return;
    this.#isWriting = true;
    const bytes = Buffer.concat(this.#pending);
    this.#pending = [];
    this.#writeAll(bytes);
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (error, written) => {
      this.#pendingBytes -= error === null ? written : 0;
      const remaining = error === null ? bytes.subarray(written) : bytes;
      if (remaining.length > 0 && isTemporary(error)) {
        setTimeout(
          () => this.#writeAll(remaining),
          error === null ? 0 : RETRY_PAUSE,
        ).unref();
        return;
      }
      // The file descriptor is unusable, so there is nowhere to report the
      // error; the lines are discarded.
      if (remaining.length > 0) this.#pendingBytes -= remaining.length;
      this.#isWriting = false;
      this.#start();
      if (this.#isWriting) return;
      for (const resolve of this.#emptyWaiters.splice(0)) resolve();
    });
  }
}

function isTemporary(error: Error | null): boolean {
  return error === null ||
    (error as NodeJS.ErrnoException).code === "EAGAIN";
}

/** Returns a sink that writes to a file descriptor. */
export function createDescriptorSink(descriptor: number): LineSink {
  return new LineSink({
    write: (bytes, done) => write(descriptor, bytes, 0, bytes.length, done),
  });
}

/** Returns a writable text stream that passes everything to a sink. */
export function createSinkStream(sink: LineSink): Writable {
  return new Writable({
    decodeStrings: false,
    write(text: string, _encoding, done) {
      sink.push(String(text));
      done();
    },
  });
}
