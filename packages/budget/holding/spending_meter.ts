/** Measures how fast tokens are drawn, also in the first seconds. */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../../core/mod.ts";

/** Time constant of the rate: a few bursts, and short against a cut. */
const WINDOW: Millis = 5_000;

/** Least time that a rate is taken over, so that one request isn't a flood. */
const LEAST_SPAN: Millis = 1_000;

/**
 * An exponentially weighted rate. It is divided by the weight that has been
 * seen so far, so that it isn't too low while it is young.
 */
export class SpendingMeter {
  readonly #startedAt: MonotonicTime;
  #sum = 0;
  #at: MonotonicTime;

  constructor(now: MonotonicTime) {
    this.#startedAt = now;
    this.#at = now;
  }

  /** Adds tokens that were drawn now; a negative number takes some back. */
  record(tokens: Tokens, now: MonotonicTime): void {
    this.#sum = this.#computeSum(now) + tokens;
    this.#at = now;
  }

  /** Returns the rate in tokens per second. */
  computeRate(now: MonotonicTime): number {
    const age = Math.max(LEAST_SPAN, now - this.#startedAt);
    const weight = 1 - Math.exp(-age / WINDOW);
    const sum = Math.max(0, this.#computeSum(now));
    return sum * MILLIS_PER_SECOND / (WINDOW * weight);
  }

  #computeSum(now: MonotonicTime): number {
    return this.#sum * Math.exp(-Math.max(0, now - this.#at) / WINDOW);
  }
}
