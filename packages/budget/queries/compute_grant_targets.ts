/**
 * How many tokens a VM should hold for an event.
 *
 * The targets follow the rates of reserving and drawing and shrink as the
 * budget empties. {@link BudgetLean} chooses how far ahead a VM provides and
 * how much of what is left it may hold.
 */
import {
  BudgetLean,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../../core/mod.ts";
import type { EventAccount } from "../account.ts";
import { computeRates } from "../draw_rate.ts";

/** How one lean sizes grants. */
export interface GrantSizing {
  /** How long the tokens held should last when the table fails, at any time. */
  readonly minCoverage: Millis;
  /** How long they should last after a refill, at the present rate of drawing. */
  readonly refillCoverage: Millis;
  /** Largest part of the budget's remainder that one VM may ask for. */
  readonly maxShare: number;
  /** How long more than the target may lie unused before it is given back. */
  readonly returnAfter: Millis;
  /** Usual requests whose tokens stay until the grant ends, drawn on or not. */
  readonly idleRequests: number;
}

/** Sizing by lean. */
export const GRANT_SIZING: Readonly<Record<BudgetLean, GrantSizing>> = {
  [BudgetLean.FewerRefusals]: {
    minCoverage: 600_000,
    refillCoverage: 1_200_000,
    maxShare: 1 / 4,
    returnAfter: 120_000,
    idleRequests: 16,
  },
  [BudgetLean.TighterBudget]: {
    minCoverage: 30_000,
    refillCoverage: 180_000,
    maxShare: 1 / 8,
    returnAfter: 60_000,
    idleRequests: 4,
  },
};

/** Time within which the table answers a request for a grant, batching included. */
export const REFILL_TIME: Millis = 2_000;

/** First grant of an event, in multiples of the request that needs it. */
export const START_FACTOR = 16;

/**
 * Requests that a grant should cover at least, so that the end of a budget
 * doesn't go in ever smaller grants. Loans move what is left to where it lacks.
 */
const MIN_REQUESTS = 16;

/** What the targets are computed from. */
export interface TargetInput {
  readonly now: MonotonicTime;
  readonly lean: BudgetLean;
  /** Tokens left in the budget row when it was last read, if known. */
  readonly budgetLeft?: Tokens;
  /** Replaces the sizing of the lean, for experiments. */
  readonly sizing?: GrantSizing;
}

/** Room below which a VM asks for more, and room up to which it asks. */
export interface GrantTargets {
  readonly low: Tokens;
  readonly high: Tokens;
  /** Most that one VM may ask for, unless a single request needs more. */
  readonly maxRequest: Tokens;
  /** Room up to which nothing is given back before the grant ends. */
  readonly retained: Tokens;
}

/** Returns the targets of an account. */
export function computeGrantTargets(
  account: EventAccount,
  input: TargetInput,
): GrantTargets {
  const sizing = input.sizing ?? GRANT_SIZING[input.lean];
  const { drawRate, demandRate } = computeRates(account, input.now);
  const refill = demandRate * REFILL_TIME / MILLIS_PER_SECOND;
  const left = input.budgetLeft ?? Infinity;
  const least = MIN_REQUESTS * account.usualHold;
  const most = Math.min(left, Math.max(left * sizing.maxShare, least));
  const full = refill + drawRate * sizing.refillCoverage / MILLIS_PER_SECOND;
  const low = refill + drawRate * sizing.minCoverage / MILLIS_PER_SECOND;
  // An account that is hardly drawn on asks for nothing ahead.
  const demand = demandRate * sizing.refillCoverage / MILLIS_PER_SECOND;
  const isIdle = demand < account.usualHold;
  const high = isIdle ? 0 : Math.min(full, most);
  const idle = Math.min(sizing.idleRequests * account.usualHold, most);
  return {
    // A refill near the end of the budget must be worth its write, too.
    low: Math.round(Math.min(low, high / 2)),
    high: Math.round(high),
    maxRequest: Math.floor(most),
    // Events with minutes between requests would write twice for each one.
    retained: Math.round(Math.max(high, idle)),
  };
}
