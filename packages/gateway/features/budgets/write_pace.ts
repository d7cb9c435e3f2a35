/** Limits the rate of a VM's refills to its share of the store's writes. */
import { MILLIS_PER_SECOND, type MonotonicTime } from "../../../core/mod.ts";

/** Fraction of the store's write rate that the refills of all VMs may use. */
const REFILL_SHARE = 0.4;

/** Largest burst of refills after an idle period. */
const MOST_SAVED = 25;

/**
 * Token bucket for a VM's periodic refills. Exchanges for waiting requests
 * don't count against it.
 */
export class WritePace {
  #saved = MOST_SAVED;
  #earnedAt: MonotonicTime | undefined;

  /** Whether a refill may be made now. */
  get hasRoom(): boolean {
    return this.#saved >= 1;
  }

  /** Adds the refills that have accrued since the last call. */
  earn(
    now: MonotonicTime,
    input: { readonly vms: number; readonly writesPerSecond: number },
  ): void {
    const elapsed = Math.max(0, now - (this.#earnedAt ?? now));
    this.#earnedAt = now;
    const perSecond = input.writesPerSecond * REFILL_SHARE / input.vms;
    const earned = elapsed / MILLIS_PER_SECOND * perSecond;
    this.#saved = Math.min(MOST_SAVED, this.#saved + earned);
  }

  /** Uses up one refill. */
  take(): void {
    this.#saved -= 1;
  }
}
