/**
 * Computes how many tokens a VM should hold for an event.
 *
 * The targets follow the rates at which the VM reserves and spends tokens, and
 * shrink as the budget runs out. {@link BudgetPreference} selects how long the tokens
 * held should last and how much of the remaining budget one VM may hold.
 */
import {
  BudgetPreference,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../../core/mod.ts";
import type { EventAccount } from "../account.ts";
import { computeRates } from "../account_rates.ts";

/** Sizing of grants under one {@link BudgetPreference}. */
export interface GrantSizing {
  /**
   * How long the tokens held at any time should last if the store becomes
   * unavailable.
   */
  readonly minCoverage: Millis;
  /**
   * How long they should last right after a refill, at the present spending
   * rate.
   */
  readonly refillCoverage: Millis;
  /**
   * Largest share of the remaining budget that one VM may ask for, from 0 to 1.
   */
  readonly maxShare: number;
  /**
   * How long tokens above the target may stay unused before they are returned.
   */
  readonly returnAfter: Millis;
  /**
   * Number of average reservations whose tokens stay until the grant ends, used
   * or not.
   */
  readonly idleRequests: number;
}

/** Sizing of grants for each {@link BudgetPreference}. */
export const GRANT_SIZING: Readonly<Record<BudgetPreference, GrantSizing>> = {
  [BudgetPreference.FewerRefusals]: {
    minCoverage: 600_000,
    refillCoverage: 1_200_000,
    maxShare: 1 / 4,
    returnAfter: 120_000,
    idleRequests: 16,
  },
  [BudgetPreference.TighterBudget]: {
    minCoverage: 30_000,
    refillCoverage: 180_000,
    maxShare: 1 / 8,
    returnAfter: 60_000,
    idleRequests: 4,
  },
};

/**
 * Time within which the store answers a request for a grant, including
 * batching.
 */
export const REFILL_TIME: Millis = 2_000;

/**
 * Tokens to ask for when requests wait, as a multiple of what they need. It
 * sizes an event's first grant, before any rates are known.
 */
export const START_FACTOR = 16;

/**
 * Number of average reservations that a VM may always ask for, whatever its
 * share. Without it, the end of a budget would be granted in ever smaller
 * amounts. Loans move the remaining tokens to the VMs that are short of them.
 */
const MIN_REQUESTS = 16;

/** What the targets are computed from. */
export interface TargetInput {
  readonly now: MonotonicTime;
  readonly lean: BudgetPreference;
  /**
   * Tokens left to grant when the budget row was last read; absent if unknown.
   */
  readonly budgetLeft?: Tokens;
  /** Overrides the sizing that `lean` selects, for experiments. */
  readonly sizing?: GrantSizing;
}

/** Thresholds for the available tokens of an account. */
export interface GrantTargets {
  /** Low watermark: below it, the VM asks for more. */
  readonly low: Tokens;
  /** High watermark: the VM asks for as many tokens as it takes to reach it. */
  readonly high: Tokens;
  /** Maximum that one VM may ask for, unless a single request needs more. */
  readonly maxRequest: Tokens;
  /** Available tokens up to which nothing is returned before the grant ends. */
  readonly retained: Tokens;
}

/** Returns how many tokens an account should have available. */
export function computeGrantTargets(
  account: EventAccount,
  input: TargetInput,
): GrantTargets {
  const sizing = input.sizing ?? GRANT_SIZING[input.lean];
  const { drawRate, demandRate } = computeRates(account, input.now);
  const refillDemand = demandRate * REFILL_TIME / MILLIS_PER_SECOND;
  const left = input.budgetLeft ?? Infinity;
  const minLimit = MIN_REQUESTS * account.usualHold;
  const limit = Math.min(left, Math.max(left * sizing.maxShare, minLimit));
  const refillTarget = refillDemand +
    drawRate * sizing.refillCoverage / MILLIS_PER_SECOND;
  const low = refillDemand + drawRate * sizing.minCoverage / MILLIS_PER_SECOND;
  // A rarely used account asks for no tokens in advance.
  const demand = demandRate * sizing.refillCoverage / MILLIS_PER_SECOND;
  const isIdle = demand < account.usualHold;
  const high = isIdle ? 0 : Math.min(refillTarget, limit);
  const idleTokens = Math.min(sizing.idleRequests * account.usualHold, limit);
  return {
    // Near the end of the budget, `high` becomes small. `low` is then half of it,
    // so that a refill still obtains enough tokens to justify its write.
    low: Math.round(Math.min(low, high / 2)),
    high: Math.round(high),
    maxRequest: Math.floor(limit),
    // Otherwise events with minutes between requests would cause two writes per
    // request.
    retained: Math.round(Math.max(high, idleTokens)),
  };
}
