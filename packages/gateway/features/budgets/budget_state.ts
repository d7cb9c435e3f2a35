/**
 * State that this VM keeps for one customer's budget besides the account: the
 * latest known contents of the budget row, standby grants and waiting requests.
 */
import type { Either } from "purify-ts";
import {
  BorrowerDemand,
  type KnownRow,
  type Reservation,
  type SpendingMeter,
  type StandbyHolding,
} from "../../../budget/mod.ts";
import type {
  CustomerId,
  Millis,
  MonotonicTime,
  Refusal,
  Tokens,
  VmId,
} from "../../../core/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";

/**
 * Maximum time that a request waits for tokens. It covers an exchange that is
 * answered at the end of a call's time limit, or repeated after a conflict. A
 * caller that is refused comes back later than that.
 */
export const MAX_TOKEN_WAIT: Millis = 1_200;

/** Maximum time that an exchange takes while the store answers as usual. */
export const MAX_EXCHANGE_TIME: Millis = 800;

/** A request that waits until its tokens can be reserved. */
export interface Waiter {
  readonly requestId: string;
  readonly tokens: Tokens;
  readonly deadline: MonotonicTime;
  resolve(result: Either<Refusal, Reservation>): void;
}

/** A standby grant that was unlocked, at least in part, during an outage. */
export interface UnlockedGrant extends StandbyHolding {
  /** Tokens of the grant that the account may already reserve from. */
  readonly unlockedTokens: Tokens;
}

/** State of one customer's budget on this VM. */
export interface BudgetState {
  readonly customer: CustomerId;
  /**
   * Writes the budget's row. Each customer has a writer of its own, so that a
   * write to one row never waits for a write to another.
   */
  readonly writer: StoreWriter;
  /** The budget's limit by the configuration. */
  prepaid: Tokens;
  /** The budget's limit in the row, as of the store's last answer. */
  rowLimit: Tokens;
  /** Tokens that no VM holds; undefined before the first answer. */
  budgetLeft: Tokens | undefined;
  /** Tokens that the row counts in closed and written-off grants. */
  closed: Tokens;
  /** The row as of the store's last answer; undefined before it. */
  known: KnownRow | undefined;
  /** Whether {@link known} is being merged into the row of a restored store. */
  isMerging: boolean;
  /** Until when no exchange is started, since the last one was deferred. */
  deferredUntil: MonotonicTime;
  /** Number of VMs that hold tokens of the budget, by the row. */
  holders: number;
  /** The other holders, in descending order of their spending rate. */
  otherHolders: readonly VmId[];
  /** Ids of the exchanges in which other VMs last took tokens, by the row. */
  otherTakes: readonly string[];
  /** {@link otherTakes} when this VM began to collect refusals of loans. */
  refusalTakes: readonly string[];
  /** When the latest answered reading or exchange of the row was started. */
  readAt: MonotonicTime;
  /** Spending by other VMs in tokens per second, by the row. */
  othersRate: number;
  /** Spending rate of all VMs as a lender last told it; undefined before. */
  lendersRate: number | undefined;
  /** Whether this VM holds tokens ahead of need, as last decided. */
  isHolder: boolean;
  /** Grants kept in reserve for an outage of the store, not unlocked yet. */
  standby: readonly StandbyHolding[];
  /** Standby grants that are in use while the row still has them on standby. */
  unlockedGrants: readonly UnlockedGrant[];
  /**
   * Ids of unlocked grants that the exchange in progress shrinks or closes;
   * they must not be unlocked further.
   */
  frozenGrantIds: readonly string[];
  /** When the latest exchange was started. */
  exchangeStartedAt: MonotonicTime;
  /** Whether the grants of earlier incarnations were ended in the row. */
  isInitialized: boolean;
  /** Measures the spending rate; undefined before the first request. */
  meter: SpendingMeter | undefined;
  /** Whether an exchange is in progress. */
  exchanging: boolean;
  /** Whether the last exchange asked for tokens and was granted none. */
  wasTakeDenied: boolean;
  /**
   * The round of loans in progress, which asks peers until waiting requests are
   * served; undefined if none is.
   */
  loanRound: Promise<void> | undefined;
  waiters: Waiter[];
  /** Tokens that other VMs are waiting to borrow from this one. */
  readonly borrowerDemand: BorrowerDemand;
  /** Called once each at the store's next answer about this budget. */
  answerListeners: (() => void)[];
}

/** Returns the initial state, before anything was read from the store. */
export function createBudgetState(input: {
  readonly customer: CustomerId;
  readonly prepaid: Tokens;
  readonly writer: StoreWriter;
}): BudgetState {
  return {
    ...input,
    rowLimit: 0,
    budgetLeft: undefined,
    closed: 0,
    known: undefined,
    isMerging: false,
    deferredUntil: -Infinity,
    holders: 0,
    otherHolders: [],
    otherTakes: [],
    refusalTakes: [],
    readAt: -Infinity,
    othersRate: 0,
    lendersRate: undefined,
    isHolder: false,
    standby: [],
    unlockedGrants: [],
    frozenGrantIds: [],
    exchangeStartedAt: 0,
    isInitialized: false,
    meter: undefined,
    exchanging: false,
    wasTakeDenied: false,
    loanRound: undefined,
    waiters: [],
    borrowerDemand: new BorrowerDemand(MAX_TOKEN_WAIT),
    answerListeners: [],
  };
}

/** Whether the configuration has a higher limit than the row. */
export function isLimitRaised(budget: BudgetState): boolean {
  return budget.prepaid > budget.rowLimit;
}

/** Whether an exchange is in progress of which no call to the store failed. */
export function isAnswerExpected(budget: BudgetState): boolean {
  return budget.exchanging && budget.writer.readLastError() === undefined;
}

/**
 * Returns for how long the exchange in progress has gone unanswered, or 0 if
 * that is no longer than an answer may take. Above 0, requests should not wait
 * for the store.
 */
export function computeOutage(budget: BudgetState, now: MonotonicTime): Millis {
  if (!budget.exchanging) return 0;
  const unanswered = now - budget.exchangeStartedAt;
  const limit = isAnswerExpected(budget) ? MAX_TOKEN_WAIT : MAX_EXCHANGE_TIME;
  return unanswered > limit ? unanswered : 0;
}

/** Returns the total tokens that waiting requests need. */
export function sumWaitingTokens(budget: BudgetState): Tokens {
  return budget.waiters.reduce((sum, each) => sum + each.tokens, 0);
}

/** Returns the total unlocked tokens of standby grants. */
export function sumUnlockedTokens(grants: readonly UnlockedGrant[]): Tokens {
  return grants.reduce((sum, each) => sum + each.unlockedTokens, 0);
}
