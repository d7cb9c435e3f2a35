/**
 * Assembles one streamed answer from the chunks of its attempts.
 *
 * Invariants:
 * - Each position is sent to the caller once and in order.
 * - All chunks sent come from one generation, so that parts of different answers
 *   are never joined. Another attempt can continue a generation only by resuming
 *   it at the next position.
 * - Only chunks of the current attempt are sent.
 */
import type { Tokens } from "../../core/mod.ts";
import type { StreamChunk } from "../../ports/mod.ts";

/** What to do with a chunk that was received. */
export enum ChunkAction {
  /** Send it to the caller. */
  Pass = "pass",
  /** Discard it: its attempt is not current, or its position was sent. */
  Drop = "drop",
  /** Abort the attempt: a chunk before this one is missing. */
  Break = "break",
  /** Cancel the attempt: the tokens that were reserved are used up. */
  Cut = "cut",
}

/** Progress of an answer. */
export interface AnswerProgress {
  /** Position of the next chunk to send. */
  readonly position: number;
  /** Tokens of the chunks sent so far. */
  readonly tokens: Tokens;
  /** Number of the current attempt; also increases when it is abandoned. */
  readonly attempt: number;
}

/** Decides which chunks of one answer are sent to its caller. */
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
   * Starts an attempt and abandons the previous one. Returns the attempt's
   * number, or undefined if it must not start: the answer is closed, or the
   * attempt does not resume at the next position to send.
   */
  startAttempt(
    options: { readonly resumeAt?: number } = {},
  ): number | undefined {
    if (this.#closed || (options.resumeAt ?? 0) !== this.#position) {
      return undefined;
    }
    return ++this.#attempt;
  }

  /** Returns what to do with a chunk, and counts it if it is to be sent. */
  receive(attempt: number, chunk: StreamChunk): ChunkAction {
    if (this.#closed || attempt !== this.#attempt) return ChunkAction.Drop;
    // An engine that resumes may repeat chunks before the requested position.
    if (chunk.position < this.#position) return ChunkAction.Drop;
    if (chunk.position > this.#position) return this.#breakAttempt();
    if (this.#tokens + chunk.tokens > this.#tokenBound) {
      this.#closed = true;
      return ChunkAction.Cut;
    }
    this.#position++;
    this.#tokens += chunk.tokens;
    return ChunkAction.Pass;
  }

  /** Abandons the current attempt: no further chunk of it is sent. */
  closeAttempt(): void {
    this.#attempt++;
  }

  /** Ends the answer: it is complete, or its caller disconnected. */
  close(): void {
    this.#closed = true;
  }

  /** Returns the progress of the answer. */
  readProgress(): AnswerProgress {
    return {
      position: this.#position,
      tokens: this.#tokens,
      attempt: this.#attempt,
    };
  }

  #breakAttempt(): ChunkAction {
    this.#attempt++;
    return ChunkAction.Break;
  }
}
