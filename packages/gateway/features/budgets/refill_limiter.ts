/** Limits the rate of a VM's refills to its share of the store's writes. */
import { MILLIS_PER_SECOND, type MonotonicTime } from "../../../core/mod.ts";

/** Fraction of the store's write rate that the refills of all VMs may use. */
const REFILL_SHARE = 0.4;

/** Largest burst of refills after an idle period. */
const MAX_BURST = 25;

/**
 * Token bucket for a VM's periodic refills. Exchanges for waiting requests
 * don't count against it.
 */
export class RefillLimiter {
  #permits = MAX_BURST;
  #accruedAt: MonotonicTime | undefined;

  /** Whether a refill may be made now. */
  get hasPermit(): boolean {
    return this.#permits >= 1;
  }

  /** Adds the refills that have accrued since the last call. */
  accrue(
    now: MonotonicTime,
    input: { readonly vms: number; readonly writesPerSecond: number },
  ): void {
    const elapsed = Math.max(0, now - (this.#accruedAt ?? now));
    this.#accruedAt = now;
    const perSecond = input.writesPerSecond * REFILL_SHARE / input.vms;
    const accrued = elapsed / MILLIS_PER_SECOND * perSecond;
    this.#permits = Math.min(MAX_BURST, this.#permits + accrued);
  }

  /** Uses up one refill. */
  consume(): void {
    this.#permits -= 1;
  }
}
