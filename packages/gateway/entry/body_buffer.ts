/**
 * Collects bodies in blocks that are used again. Chunks may be of one byte, and
 * each is an object with memory of its own, several hundred bytes in all; copied
 * together they take what their bytes do. A block that is used again doesn't
 * wait for a garbage collection, which comes late on a small machine.
 */
import type { Bytes } from "../../core/mod.ts";

/** A body in the parts in which it is kept. */
export type BodyParts = readonly Uint8Array[];

/** Size of a block. */
export const BLOCK_BYTES: Bytes = 16_384;

/** Part of the free blocks that is dropped each time. */
const DROPPED_SHARE = 1 / 16;

/** The free blocks of one gateway. */
export class BlockPool {
  readonly #free: Buffer[] = [];

  /** Takes a block, with any contents. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Returns blocks; nothing may refer to them any more. */
  put(blocks: readonly Buffer[]): void {
    for (const block of blocks) this.#free.push(block);
  }

  /** Drops some of the free blocks, so that memory is returned after a peak. */
  trim(): void {
    this.#free.length -= Math.ceil(this.#free.length * DROPPED_SHARE);
  }
}

/** Collects one body. */
export class BodyBuffer {
  readonly #pool: BlockPool;
  readonly #blocks: Buffer[] = [];
  /** The first chunk while it is the only one, as of most bodies. */
  #only: Buffer | undefined;
  #size: Bytes = 0;
  /** Free bytes at the end of the last block. */
  #left: Bytes = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Number of bytes collected. */
  get size(): Bytes {
    return this.#size;
  }

  /** Returns the memory that the buffer takes once it has got more bytes. */
  computeHeld(added: Bytes): Bytes {
    if (this.#size === 0) return added;
    return Math.ceil((this.#size + added) / BLOCK_BYTES) * BLOCK_BYTES;
  }

  push(chunk: Buffer): void {
    if (this.#size === 0) {
      this.#only = chunk;
    } else {
      if (this.#only !== undefined) this.#copy(this.#only);
      this.#only = undefined;
      this.#copy(chunk);
    }
    this.#size += chunk.length;
  }

  /**
   * Returns the body in parts. Its blocks are not used again, since sockets may
   * refer to them for longer than the request lasts.
   */
  takeParts(): Buffer[] {
    const parts = this.#only === undefined
      ? this.#blocks.splice(0)
      : [this.#only];
    const last = parts.pop();
    if (last === undefined) return [];
    const length = this.#only?.length ?? BLOCK_BYTES - this.#left;
    this.discard();
    return [...parts, last.subarray(0, length)];
  }

  /** Returns the body in one piece and gives the blocks back. */
  assemble(): Buffer {
    const body = this.#only ?? Buffer.concat(this.#blocks, this.#size);
    this.discard();
    return body;
  }

  /** Gives the blocks back. */
  discard(): void {
    this.#pool.put(this.#blocks);
    this.#blocks.length = 0;
    this.#only = undefined;
    this.#size = 0;
    this.#left = 0;
  }

  #copy(chunk: Buffer): void {
    for (let copied = 0; copied < chunk.length;) {
      if (this.#left === 0) {
        this.#blocks.push(this.#pool.take());
        this.#left = BLOCK_BYTES;
      }
      const block = this.#blocks[this.#blocks.length - 1]!;
      const length = Math.min(this.#left, chunk.length - copied);
      chunk.copy(block, BLOCK_BYTES - this.#left, copied, copied + length);
      this.#left -= length;
      copied += length;
    }
  }
}
