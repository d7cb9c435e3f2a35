/**
 * A token bucket: a rate limit with a bounded burst, whose level may go below
 * zero.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
} from "../core/mod.ts";

/** Fill rate and size of a token bucket. */
export interface BucketLimit {
  /** Units added per second. */
  readonly perSecond: number;
  /** Maximum number of units that the bucket can hold. */
  readonly depth: number;
}

/**
 * Holds units that are replenished at a steady rate. The level never exceeds the
 * depth. Taking more than is available makes it negative until it is refilled.
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

  /** Returns the current level, which may be negative. */
  readLevel(now: MonotonicTime): number {
    const elapsed = Math.max(0, now - this.#filledAt);
    const gained = elapsed * this.#limit.perSecond / MILLIS_PER_SECOND;
    return Math.min(this.#limit.depth, this.#level + gained);
  }

  /**
   * Returns the time until the level reaches `units`, or the depth if that is
   * less; infinite if the bucket is not refilled.
   */
  computeWait(units: number, now: MonotonicTime): Millis {
    const missing = Math.min(units, this.#limit.depth) - this.readLevel(now);
    if (missing <= 0) return 0;
    if (this.#limit.perSecond <= 0) return Infinity;
    return missing * MILLIS_PER_SECOND / this.#limit.perSecond;
  }

  /**
   * Takes units without checking the level; a negative number returns units.
   */
  take(units: number, now: MonotonicTime): void {
    const level = this.readLevel(now);
    this.#level = Math.min(this.#limit.depth, level - units);
    this.#filledAt = Math.max(this.#filledAt, now);
  }

  /** Changes rate and depth; the level is kept, but at most the new depth. */
  changeLimit(limit: BucketLimit, now: MonotonicTime): void {
    const level = this.readLevel(now);
    this.#limit = limit;
    this.#level = Math.min(limit.depth, level);
    this.#filledAt = Math.max(this.#filledAt, now);
  }
}
