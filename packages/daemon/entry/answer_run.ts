/**
 * One run of a request and everyone who waits for its answer.
 *
 * The run appends chunks and ends once. Each listener reads from the beginning
 * at its own pace, so duplicates of a request share one run and each gets the
 * whole answer.
 */
import type { BodyDigest, Bytes, Refusal } from "../../core/mod.ts";

/** How a run ended. */
export type RunEnd =
  /** Every chunk of a stream was appended. */
  | { readonly type: "streamed" }
  /** A plain answer. */
  | {
    readonly type: "answered";
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
  }
  | { readonly type: "refused"; readonly refusal: Refusal };

/** Chunks that the engine may be ahead of the fastest listener. */
export const MAX_CHUNKS_AHEAD = 256;

/** Is called when there is something new to read. */
export type RunListener = () => void;

/** A run in progress or just ended. */
export class AnswerRun {
  readonly digest: BodyDigest;
  readonly #chunks: string[] = [];
  readonly #listeners = new Set<RunListener>();
  readonly #abandoned = new AbortController();
  #end: RunEnd | undefined;
  /** Chunks that the fastest listener has passed on. */
  #readTo = 0;
  #resume: (() => void) | undefined;

  constructor(digest: BodyDigest) {
    this.digest = digest;
  }

  /** Aborts when the last listener has gone before the end. */
  get abandoned(): AbortSignal {
    return this.#abandoned.signal;
  }

  /** Returns the chunks so far; the array grows in place. */
  readChunks(): readonly string[] {
    return this.#chunks;
  }

  /** Returns the size of the answer so far, in bytes. */
  computeBytes(): Bytes {
    const plain = this.#end?.type === "answered" ? this.#end.body.length : 0;
    return this.#chunks.reduce((sum, chunk) => sum + chunk.length, plain);
  }

  /** Returns how the run ended, or undefined while it goes on. */
  readEnd(): RunEnd | undefined {
    return this.#end;
  }

  /**
   * Appends one chunk. Returns a promise while every listener is far behind, so
   * that a slow caller slows its engine down and does not fill memory.
   */
  append(data: string): Promise<void> | void {
    this.#chunks.push(data);
    this.#notify();
    if (this.#chunks.length - this.#readTo <= MAX_CHUNKS_AHEAD) return;
    return new Promise((resolve) => (this.#resume = resolve));
  }

  /** Says that a listener has passed on this many chunks. */
  recordRead(count: number): void {
    if (count <= this.#readTo) return;
    this.#readTo = count;
    if (this.#chunks.length - count <= MAX_CHUNKS_AHEAD) this.#continue();
  }

  /** Ends the run; only the first end counts. */
  finish(end: RunEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#notify();
  }

  /** Adds a listener; the function returned removes it. */
  addListener(listener: RunListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
      if (this.#listeners.size === 0 && this.#end === undefined) {
        this.#abandoned.abort();
        this.#continue();
      }
    };
  }

  #continue(): void {
    this.#resume?.();
    this.#resume = undefined;
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
