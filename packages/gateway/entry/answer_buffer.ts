/**
 * Buffers of answers that are delivered as a whole. Targets may send bytes
 * without end, so that each answer is bounded, and so are all together.
 */
import type { Bytes } from "../../core/mod.ts";
import { MAX_ANSWER_BYTES } from "../../ports/mod.ts";

/** Maximum size of all answers that are buffered at the same time. */
export const MAX_BUFFERED_BYTES: Bytes = 64 * 1_048_576;

/** Memory that a chunk takes besides its bytes; chunks may be tiny. */
const CHUNK_OVERHEAD: Bytes = 128;

/** The memory that all buffers of one gateway share. */
export class AnswerMemory {
  #used: Bytes = 0;

  /** Reserves memory; returns false if too little is left. */
  reserve(bytes: Bytes): boolean {
    if (this.#used + bytes > MAX_BUFFERED_BYTES) return false;
    this.#used += bytes;
    return true;
  }

  /** Returns reserved memory. */
  release(bytes: Bytes): void {
    this.#used -= bytes;
  }
}

/** Collects the body of one answer. */
export class AnswerBuffer {
  readonly #memory: AnswerMemory;
  readonly #chunks: Buffer[] = [];
  #size: Bytes = 0;

  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /** Appends bytes; returns why the answer is too large, if it is. */
  push(chunk: Buffer): string | undefined {
    const size = chunk.length + CHUNK_OVERHEAD;
    if (this.#size + size > MAX_ANSWER_BYTES) {
      return `the answer takes more than ${MAX_ANSWER_BYTES} bytes`;
    }
    if (!this.#memory.reserve(size)) {
      return `all answers take more than ${MAX_BUFFERED_BYTES} bytes`;
    }
    this.#size += size;
    this.#chunks.push(chunk);
    return undefined;
  }

  /** Returns the body and the memory that it takes. Call it once. */
  close(): Buffer {
    this.#memory.release(this.#size);
    return Buffer.concat(this.#chunks.splice(0));
  }
}
