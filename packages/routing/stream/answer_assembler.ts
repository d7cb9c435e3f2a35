/**
 * Assembles one answer from the chunks of its attempts.
 *
 * Invariants: the caller is sent each position once and in order; all of them
 * come from one generation, so that answers are never spliced; a chunk of an
 * attempt that is not the current one is never sent. A generation may be
 * continued by another attempt only by resuming it at the next position.
 */
import type { Tokens } from "../../core/mod.ts";
import type { StreamChunk } from "../../ports/mod.ts";

/** What to do with a chunk. */
export enum ChunkAction {
  /** Send it to the caller. */
  Pass = "pass",
  /** Forget it: it is late or a repetition. */
  Drop = "drop",
  /** Break the attempt off: a chunk is missing before this one. */
  Break = "break",
  /** Cancel the attempt: the tokens that were reserved are used up. */
  Cut = "cut",
}

/** How far an answer has come. */
export interface AnswerProgress {
  /** Position of the next chunk to send. */
  readonly position: number;
  readonly tokens: Tokens;
  readonly attempt: number;
}

/** Puts one answer together. */
export class AnswerAssembler {
  readonly #tokenBound: Tokens;
  #attempt = 0;
  #position = 0;
  #tokens: Tokens = 0;
  #closed = false;

  constructor(options: { readonly tokenBound: Tokens }) {
    this.#tokenBound = options.tokenBound;
  }

  /**
   * Begins an attempt and abandons the one before it. Returns its number, or
   * undefined if it may not begin: the answer is closed, or a part of it was
   * sent and the attempt does not resume there.
   */
  startAttempt(
    options: { readonly resumeAt?: number } = {},
  ): number | undefined {
    if (this.#closed || (options.resumeAt ?? 0) !== this.#position) {
      return undefined;
    }
    return ++this.#attempt;
  }

  /** Decides on one chunk of an attempt and counts it if it is passed on. */
  receive(attempt: number, chunk: StreamChunk): ChunkAction {
    if (this.#closed || attempt !== this.#attempt) return ChunkAction.Drop;
    // Engines that resume may repeat chunks from before the asked position.
    if (chunk.position < this.#position) return ChunkAction.Drop;
    if (chunk.position > this.#position) return this.#dropAttempt();
    if (this.#tokens + chunk.tokens > this.#tokenBound) {
      this.#closed = true;
      return ChunkAction.Cut;
    }
    this.#position++;
    this.#tokens += chunk.tokens;
    return ChunkAction.Pass;
  }

  /** Abandons the current attempt: none of its chunks is sent any more. */
  closeAttempt(): void {
    this.#attempt++;
  }

  /** Ends the answer: it is whole, or its caller has gone. */
  close(): void {
    this.#closed = true;
  }

  /** Returns how far the answer has come. */
  readProgress(): AnswerProgress {
    return {
      position: this.#position,
      tokens: this.#tokens,
      attempt: this.#attempt,
    };
  }

  #dropAttempt(): ChunkAction {
    this.#attempt++;
    return ChunkAction.Break;
  }
}
