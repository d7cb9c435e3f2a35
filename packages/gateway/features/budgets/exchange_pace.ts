/**
 * Paces exchanges that no request waits for. A budget's row takes one write at
 * a time, and a writer far from the store loses each attempt during which
 * another one writes. So the row's optional writes per second must not grow
 * with the number of VMs that hold the budget's tokens.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
} from "../../../core/mod.ts";

/** Interval between two checks of all budgets, which batches their refills. */
export const REBALANCE_INTERVAL: Millis = 400;

/**
 * Optional writes that a row may take per second from all holders together;
 * more of them leave a writer far from the store few attempts without a
 * conflict.
 */
const OPTIONAL_WRITES_PER_SECOND = 20;

/**
 * Multiple of the interval of refills at which tokens are only returned or
 * standby grants adjusted: no request is short of these yet.
 */
const RETURN_INTERVAL_FACTOR = 2;

/** Which exchanges of a budget may start now. */
export enum ExchangePermit {
  None = "none",
  /** Only those that take active tokens. */
  Refill = "refill",
  Any = "any",
}

/**
 * Returns the minimum interval between two refills of one VM for one customer,
 * given the number of VMs that hold tokens of the budget.
 */
export function computeRefillInterval(holders: number): Millis {
  const interval = holders * MILLIS_PER_SECOND / OPTIONAL_WRITES_PER_SECOND;
  return Math.max(REBALANCE_INTERVAL, interval);
}

/**
 * Decides which exchanges a periodic check may start. An interval ends at the
 * check that is nearest to its end, so that it is right on average.
 */
export function choosePermit(
  input: {
    readonly now: MonotonicTime;
    /** When the last exchange of the budget started. */
    readonly startedAt: MonotonicTime;
    readonly holders: number;
    /** Whether a request, or a peer, waits for tokens. */
    readonly isUrgent: boolean;
  },
): ExchangePermit {
  if (input.isUrgent) return ExchangePermit.Any;
  const elapsed = input.now - input.startedAt + REBALANCE_INTERVAL / 2;
  const interval = computeRefillInterval(input.holders);
  if (elapsed < interval) return ExchangePermit.None;
  // Where refills aren't slowed down, nothing else needs to be.
  return interval === REBALANCE_INTERVAL ||
      elapsed >= interval * RETURN_INTERVAL_FACTOR
    ? ExchangePermit.Any
    : ExchangePermit.Refill;
}
