/** Collects answers of targets that are delivered as a whole. */
import type { Bytes } from "../../core/mod.ts";
import { MAX_ANSWER_BYTES } from "../../ports/mod.ts";
import { BodyBuffer } from "./body_buffer.ts";
import {
  MemoryKind,
  type MemoryShare,
  type RequestMemory,
} from "./request_memory.ts";

/** What a chunk counts besides its bytes for its work; chunks may be tiny. */
const CHUNK_OVERHEAD: Bytes = 128;

/** Collects the body of one answer. */
export class AnswerBuffer {
  readonly #body: BodyBuffer;
  readonly #share: MemoryShare;
  /** Bytes of the answer, with the overhead of its chunks. */
  #counted: Bytes = 0;

  constructor(memory: RequestMemory) {
    this.#body = new BodyBuffer(memory.blocks);
    this.#share = memory.open(MemoryKind.Answer);
  }

  /** Appends bytes; returns why the answer is too large, if it is. */
  push(chunk: Buffer): string | undefined {
    const counted = this.#counted + chunk.length + CHUNK_OVERHEAD;
    if (counted > MAX_ANSWER_BYTES) {
      return `the answer takes more than ${MAX_ANSWER_BYTES} bytes`;
    }
    if (!this.#share.resize(this.#body.computeHeld(chunk.length))) {
      return "there is no memory left for the answer";
    }
    this.#body.push(chunk);
    this.#counted = counted;
    return undefined;
  }

  /** Returns the body and the memory that it takes. Call it once. */
  close(): Buffer {
    const body = this.#body.assemble();
    this.#share.release();
    return body;
  }

  /** Returns the memory of a body that is not needed. */
  discard(): void {
    this.#body.discard();
    this.#share.release();
  }
}
