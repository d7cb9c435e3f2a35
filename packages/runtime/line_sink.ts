/**
 * Writes log lines to a file descriptor without ever holding up the process: a
 * write runs on another thread, what waits for it is bounded, and what doesn't
 * fit is counted and left out.
 */
import { write } from "node:fs";
import { Writable } from "node:stream";
import type { Bytes, Millis } from "../core/mod.ts";

/** Most bytes that wait for a slow reader; some seconds of usual lines. */
const MAX_PENDING_BYTES: Bytes = 262_144;

/** Pause before a write that the descriptor could not take is tried again. */
const RETRY_PAUSE: Millis = 20;

/** Writes bytes and reports how many were taken. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Takes lines; never blocks and never throws. */
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

  /** Returns the number of lines left out and starts to count anew. */
  takeDroppedCount(): number {
    const count = this.#droppedLines;
    this.#droppedLines = 0;
    return count;
  }

  /** Adds a line, or leaves it out when too much waits. */
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

  /** Resolves when everything was written. */
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
      // A descriptor that is gone can't tell anyone; the lines are left out.
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

/** Returns a sink on a file descriptor. */
export function createDescriptorSink(descriptor: number): LineSink {
  return new LineSink({
    write: (bytes, done) => write(descriptor, bytes, 0, bytes.length, done),
  });
}

/** Returns a stream of text, for libraries, that ends in a sink. */
export function createSinkStream(sink: LineSink): Writable {
  return new Writable({
    decodeStrings: false,
    write(text: string, _encoding, done) {
      sink.push(String(text));
      done();
    },
  });
}
