/**
 * A time limit that grows while calls exceed it, so that calls over a slow path
 * end, and that follows the measured time of calls that end, so that a dead
 * connection is detected early on a fast path.
 */
import type { Millis, MonotonicTime } from "../core/mod.ts";

/** Values that a time limit may have. */
export interface TimeoutRange {
  /** Limit until a call exceeds it, and while calls end well within it. */
  readonly initial: Millis;
  readonly max: Millis;
}

/** Minimum factor by which a limit grows. */
const MIN_GROWTH = 3;

/**
 * Range of the random part of the factor. It spreads the retries of VMs that
 * lost their connections at the same moment.
 */
const GROWTH_SPREAD = 1;

/** Ratio of a limit to the time that the last call took. */
const MARGIN = 2;

/** The time limit of one kind of call. */
export class AdaptiveTimeout {
  readonly #range: TimeoutRange;
  #value: Millis;
  #changedAt: MonotonicTime = -Infinity;

  constructor(range: TimeoutRange) {
    this.#range = range;
    this.#value = range.initial;
  }

  /** Limit while calls end well within it. */
  get initial(): Millis {
    return this.#range.initial;
  }

  /** Limit of a call that starts now. */
  get value(): Millis {
    return this.#value;
  }

  /**
   * Records that a call exceeded its limit. Calls that started before the last
   * change had another limit and don't count, so a burst of calls that fail
   * together raises the limit once.
   *
   * @param call.random A random number that is at least 0 and less than 1.
   */
  recordExceeded(
    call: {
      readonly startedAt: MonotonicTime;
      readonly now: MonotonicTime;
      readonly random: number;
    },
  ): void {
    if (call.startedAt < this.#changedAt) return;
    const factor = MIN_GROWTH + GROWTH_SPREAD * call.random;
    this.#change(this.#value * factor, call.now);
  }

  /** Records a call that ended within its limit, and the time it took. */
  recordDuration(duration: Millis, now: MonotonicTime): void {
    this.#change(duration * MARGIN, now);
  }

  #change(value: Millis, now: MonotonicTime): void {
    const { initial, max } = this.#range;
    const limited = Math.min(max, Math.max(initial, value));
    if (limited === this.#value) return;
    this.#value = limited;
    this.#changedAt = now;
  }
}
