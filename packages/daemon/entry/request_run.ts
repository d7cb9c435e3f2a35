/**
 * The shared state of one run of a request: the answer so far and the listeners
 * that read it.
 *
 * The code that executes the request appends chunks and ends the run once. Each
 * listener reads the chunks from the first one at its own pace, so duplicates
 * of a request can share one run and each of them gets the complete answer.
 */
import type { BodyDigest, Bytes, Refusal } from "../../core/mod.ts";

/** How a run ended. */
export type RunEnd =
  /** The complete answer was appended as chunks. */
  | { readonly type: "streamed" }
  /** The answer is a single response body, not a stream. */
  | {
    readonly type: "answered";
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
  }
  | { readonly type: "refused"; readonly refusal: Refusal };

/** Maximum number of chunks that the fastest listener has not yet read. */
export const MAX_CHUNKS_AHEAD = 256;

/** Called after a chunk was appended and when the run ends. */
export type RunListener = () => void;

/** One run of a request, in progress or ended. */
export class RequestRun {
  readonly digest: BodyDigest;
  readonly #chunks: string[] = [];
  readonly #listeners = new Set<RunListener>();
  readonly #abandoned = new AbortController();
  #end: RunEnd | undefined;
  /** Number of chunks that the fastest listener has written to its caller. */
  #writtenChunks = 0;
  #resolveAppend: (() => void) | undefined;

  constructor(digest: BodyDigest) {
    this.digest = digest;
  }

  /** Aborts when the last listener is removed before the run ends. */
  get abandoned(): AbortSignal {
    return this.#abandoned.signal;
  }

  /** Returns the chunks appended so far. The array is live: it grows in place. */
  readChunks(): readonly string[] {
    return this.#chunks;
  }

  /** Returns the approximate size of the answer so far, in bytes. */
  computeBytes(): Bytes {
    const plain = this.#end?.type === "answered" ? this.#end.body.length : 0;
    return this.#chunks.reduce((sum, chunk) => sum + chunk.length, plain);
  }

  /** Returns how the run ended, or undefined while it is in progress. */
  readEnd(): RunEnd | undefined {
    return this.#end;
  }

  /**
   * Appends one chunk. Returns a promise when every listener is more than
   * MAX_CHUNKS_AHEAD chunks behind; it resolves when one has caught up or all
   * are removed. This applies backpressure to the engine, so that a slow caller
   * does not fill memory.
   */
  append(data: string): Promise<void> | void {
    this.#chunks.push(data);
    this.#notify();
    if (this.#chunks.length - this.#writtenChunks <= MAX_CHUNKS_AHEAD) return;
    return new Promise((resolve) => (this.#resolveAppend = resolve));
  }

  /** Records that a listener has written this many chunks to its caller. */
  recordWritten(count: number): void {
    if (count <= this.#writtenChunks) return;
    this.#writtenChunks = count;
    if (this.#chunks.length - count <= MAX_CHUNKS_AHEAD) this.#resumeAppend();
  }

  /** Ends the run. Later calls have no effect. */
  finish(end: RunEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#notify();
  }

  /** Adds a listener and returns the function that removes it. */
  addListener(listener: RunListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
      if (this.#listeners.size === 0 && this.#end === undefined) {
        this.#abandoned.abort();
        this.#resumeAppend();
      }
    };
  }

  #resumeAppend(): void {
    this.#resolveAppend?.();
    this.#resolveAppend = undefined;
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
