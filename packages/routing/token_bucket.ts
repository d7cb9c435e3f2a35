/** A token bucket: a rate with a bounded burst, which settlements may overdraw. */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
} from "../core/mod.ts";

/** How fast a bucket fills and how much it holds. */
export interface BucketLimit {
  readonly perSecond: number;
  /** Most units that it holds. */
  readonly depth: number;
}

/**
 * Holds units that come back at a steady rate. The level never exceeds the
 * depth; it is below zero while a settlement is being paid back.
 */
export class TokenBucket {
  #limit: BucketLimit;
  #level: number;
  #filledAt: MonotonicTime;

  constructor(limit: BucketLimit, now: MonotonicTime) {
    this.#limit = limit;
    this.#level = limit.depth;
    this.#filledAt = now;
  }

  /** Returns the units it holds. */
  readLevel(now: MonotonicTime): number {
    const elapsed = Math.max(0, now - this.#filledAt);
    const gained = elapsed * this.#limit.perSecond / MILLIS_PER_SECOND;
    return Math.min(this.#limit.depth, this.#level + gained);
  }

  /** Returns how long until it holds some units; infinite if it never will. */
  computeWait(units: number, now: MonotonicTime): Millis {
    const missing = Math.min(units, this.#limit.depth) - this.readLevel(now);
    if (missing <= 0) return 0;
    if (this.#limit.perSecond <= 0) return Infinity;
    return missing * MILLIS_PER_SECOND / this.#limit.perSecond;
  }

  /** Takes units; a negative number gives units back. */
  take(units: number, now: MonotonicTime): void {
    const level = this.readLevel(now);
    this.#level = Math.min(this.#limit.depth, level - units);
    this.#filledAt = Math.max(this.#filledAt, now);
  }

  /** Changes rate and depth; what it holds is kept as far as it fits. */
  changeLimit(limit: BucketLimit, now: MonotonicTime): void {
    const level = this.readLevel(now);
    this.#limit = limit;
    this.#level = Math.min(limit.depth, level);
    this.#filledAt = Math.max(this.#filledAt, now);
  }
}
