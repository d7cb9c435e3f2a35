/**
 * The tokens that other VMs have asked this one for and were not lent yet. A
 * borrower that asks again replaces its earlier demand, and one that doesn't is
 * forgotten once its request can't wait any more.
 */
import type { Millis, MonotonicTime, Tokens, VmId } from "../../core/mod.ts";

/** The unmet demand of one borrower. */
interface Demand {
  readonly tokens: Tokens;
  readonly until: MonotonicTime;
}

/** The unmet demand of all borrowers of one customer's tokens. */
export class BorrowerDemand {
  readonly #term: Millis;
  readonly #demands = new Map<VmId, Demand>();

  /** @param term Time for which a borrower's request waits for tokens. */
  constructor(term: Millis) {
    this.#term = term;
  }

  /** Records what a borrower asks for. */
  record(
    borrower: VmId,
    input: { readonly tokens: Tokens; readonly now: MonotonicTime },
  ): void {
    const { tokens, now } = input;
    this.#demands.set(borrower, { tokens, until: now + this.#term });
  }

  /** Forgets a borrower that was served. */
  remove(borrower: VmId): void {
    this.#demands.delete(borrower);
  }

  /** Forgets all borrowers. */
  clear(): void {
    this.#demands.clear();
  }

  /** Returns the tokens that borrowers wait for. */
  sum(now: MonotonicTime): Tokens {
    let total: Tokens = 0;
    for (const [borrower, { tokens, until }] of this.#demands) {
      if (until > now) total += tokens;
      else this.#demands.delete(borrower);
    }
    return total;
  }
}
