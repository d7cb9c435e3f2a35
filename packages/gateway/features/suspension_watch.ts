/**
 * Notices that this VM was suspended. The steady clock doesn't count that time
 * and the time of day does, so what was measured across it is too short. A time
 * of day that was set forward looks the same.
 */
import type { Clock, Millis, MonotonicTime } from "../../core/mod.ts";

/** Change between the two clocks that counts as a suspension. */
const MIN_SUSPENSION: Millis = 300;

/** Compares the steady clock with the time of day whenever it is asked. */
export class SuspensionWatch {
  readonly #clock: Clock;
  #difference: Millis;
  #noticedAt: MonotonicTime = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#difference = clock.readWall() - clock.readMonotonic();
  }

  /** Whether the VM wasn't suspended between a time and now. */
  isAwakeSince(time: MonotonicTime): boolean {
    const now = this.#clock.readMonotonic();
    const difference = this.#clock.readWall() - now;
    if (difference - this.#difference >= MIN_SUSPENSION) {
      this.#noticedAt = now;
      this.#difference = difference;
    }
    this.#difference = Math.min(this.#difference, difference);
    return time > this.#noticedAt;
  }
}
