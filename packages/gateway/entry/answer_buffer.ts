/**
 * Memory for what targets send: answers that are delivered as a whole, until
 * they have been sent, and events that are not complete. Targets may send bytes
 * without end, so that each answer is bounded, and so are all together.
 */
import type { Bytes } from "../../core/mod.ts";
import { MAX_ANSWER_BYTES } from "../../ports/mod.ts";

/** Maximum size of all that is buffered at the same time. */
export const MAX_BUFFERED_BYTES: Bytes = 32 * 1_048_576;

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

  /** Counts memory that is used already, whether or not it is left. */
  hold(bytes: Bytes): void {
    this.#used += bytes;
  }

  /** Returns reserved or held memory. */
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
    const body = Buffer.concat(this.#chunks);
    this.discard();
    return body;
  }

  /** Returns the memory of a body that is not needed. */
  discard(): void {
    this.#memory.release(this.#size);
    this.#size = 0;
    this.#chunks.length = 0;
  }
}

/** The part of the shared memory that one stream uses. */
export class StreamMemory {
  readonly #memory: AnswerMemory;
  #size: Bytes = 0;

  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /** Changes the size of what is buffered; returns false if it can't grow. */
  resize(size: Bytes): boolean {
    const added = size - this.#size;
    if (added > 0 && !this.#memory.reserve(added)) return false;
    if (added < 0) this.#memory.release(-added);
    this.#size = size;
    return true;
  }

  /** Returns all of it. */
  release(): void {
    this.#memory.release(this.#size);
    this.#size = 0;
  }
}
