/** Limits the rate of a VM's refills to its share of the store's writes. */
import { MILLIS_PER_SECOND, type MonotonicTime } from "../../../core/mod.ts";

/** Fraction of the store's write rate that the refills of all VMs may use. */
const REFILL_SHARE = 0.4;

/** Maximum burst of refills after an idle period. */
const MAX_BURST = 25;

/**
 * Token bucket for a VM's periodic refills, each of which uses one permit.
 * Exchanges for waiting requests use none.
 */
export class RefillLimiter {
  #permits = MAX_BURST;
  #accruedAt: MonotonicTime | undefined;

  /** Whether a refill may be made now. */
  get hasPermit(): boolean {
    return this.#permits >= 1;
  }

  /** Adds the permits that have accrued since the last call. */
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

  /** Uses one permit. */
  consume(): void {
    this.#permits -= 1;
  }
}
