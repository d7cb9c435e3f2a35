/**
 * Keeps the closest estimate of the store's time. Each answer of the store shows
 * a lower bound of it, which is too low by the time that the answer took to
 * arrive: on a full link that is a second or more. The clocks of VMs may not
 * differ by that, so the answers that arrived fastest count.
 */
import type { Millis, MonotonicTime, StoreTime } from "../../core/mod.ts";

/** Fraction by which the clocks of the store and of a VM may drift apart. */
const MAX_DRIFT = 0.000_2;

/**
 * Time that no answer takes to arrive. An estimate that is higher by more is
 * from before the store's clock was set back.
 */
const MAX_TRANSIT: Millis = 10_000;

/** Reads the store's time from its answers. */
export class TurnTime {
  /** The store's time less that of this VM, at least. */
  #offset = -Infinity;
  #updatedAt: MonotonicTime = 0;
  #latest: StoreTime = -Infinity;

  /**
   * Returns the store's time, given the time in its latest answer and when that
   * arrived. It goes back only with the store's clock.
   */
  read(
    answer: { readonly time: StoreTime; readonly receivedAt: MonotonicTime },
    now: MonotonicTime,
  ): StoreTime {
    const shown = answer.time - answer.receivedAt;
    const known = this.#offset - (now - this.#updatedAt) * MAX_DRIFT;
    const isSetBack = known - shown > MAX_TRANSIT;
    this.#offset = isSetBack ? shown : Math.max(known, shown);
    this.#updatedAt = now;
    const time = now + this.#offset;
    this.#latest = isSetBack ? time : Math.max(time, this.#latest);
    return this.#latest;
  }
}
