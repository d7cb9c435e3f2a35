/** Measures the rate at which a VM spends tokens, from the first second on. */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../../core/mod.ts";

/**
 * Time constant of the average. It spans a few bursts and is short compared
 * with a connection outage.
 */
const TIME_CONSTANT: Millis = 5_000;

/**
 * Minimum time over which the rate is computed, so that a single request right
 * after the start does not appear as a very high rate.
 */
const MIN_SPAN: Millis = 1_000;

/**
 * Exponentially weighted spending rate. The sum is divided by the weight
 * accumulated since the start, so that the first rates are not too low.
 */
export class SpendingMeter {
  readonly #startedAt: MonotonicTime;
  #sum = 0;
  #updatedAt: MonotonicTime;

  constructor(now: MonotonicTime) {
    this.#startedAt = now;
    this.#updatedAt = now;
  }

  /**
   * Adds tokens that were reserved or lent at `now`. A negative number subtracts
   * reserved tokens that were not spent.
   */
  record(tokens: Tokens, now: MonotonicTime): void {
    this.#sum = this.#computeSum(now) + tokens;
    this.#updatedAt = now;
  }

  /** Returns the rate in tokens per second. */
  computeRate(now: MonotonicTime): number {
    const age = Math.max(MIN_SPAN, now - this.#startedAt);
    const weight = 1 - Math.exp(-age / TIME_CONSTANT);
    const sum = Math.max(0, this.#computeSum(now));
    return sum * MILLIS_PER_SECOND / (TIME_CONSTANT * weight);
  }

  #computeSum(now: MonotonicTime): number {
    return this.#sum *
      Math.exp(-Math.max(0, now - this.#updatedAt) / TIME_CONSTANT);
  }
}
