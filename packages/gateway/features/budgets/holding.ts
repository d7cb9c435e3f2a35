/** What one VM knows of one customer's budget besides its account. */
import type { Either } from "purify-ts";
import type {
  Reservation,
  SpendingMeter,
  StandbyHolding,
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

/** Longest time that an exchange takes while the table answers. */
export const USUAL_EXCHANGE: Millis = 800;

/** A request that waits for tokens. */
export interface Waiter {
  readonly requestId: string;
  readonly tokens: Tokens;
  readonly deadline: MonotonicTime;
  resolve(result: Either<Refusal, Reservation>): void;
}

/** A standby grant that came into use while the table was away. */
export interface OpeningGrant extends StandbyHolding {
  /** Tokens of it that the account has. */
  readonly open: Tokens;
}

/** One customer's budget as this VM knows it. */
export interface Holding {
  readonly customer: CustomerId;
  /** Of the budget's one row: customers' rows don't wait for each other. */
  readonly writer: StoreWriter;
  prepaid: Tokens;
  /** The limit that the row is known to have. */
  rowLimit: Tokens;
  /** Tokens that nobody holds; undefined before the row was read. */
  budgetLeft: Tokens | undefined;
  closed: Tokens;
  holders: number;
  /** The largest drawer first. */
  otherHolders: readonly VmId[];
  othersRate: number;
  /** Tokens that wait for a time without the table. */
  standby: readonly StandbyHolding[];
  /** Standby grants that are open in part, of which the table doesn't know. */
  opening: readonly OpeningGrant[];
  /** Those of them that open no further, since a part goes back to the table. */
  settling: readonly string[];
  /** When the exchange under way was sent. */
  askedAt: MonotonicTime;
  /** Whether the row was read by this life, so that its state is known. */
  hasJoined: boolean;
  /** Present from the first draw on. */
  meter: SpendingMeter | undefined;
  exchanging: boolean;
  /** Whether the table could not cover all that wait together. */
  isNarrow: boolean;
  /** The round of loans under way: while there is one, tokens are scarce. */
  borrowing: Promise<void> | undefined;
  waiters: Waiter[];
  /** Tokens that VMs wait for which want to borrow. */
  borrowersNeed: Tokens;
  /** Called with the table's next answer. */
  answerListeners: (() => void)[];
}

/** Returns the holding of a customer of whom nothing is known yet. */
export function createHolding(input: {
  readonly customer: CustomerId;
  readonly prepaid: Tokens;
  readonly writer: StoreWriter;
}): Holding {
  return {
    ...input,
    rowLimit: 0,
    budgetLeft: undefined,
    closed: 0,
    holders: 0,
    otherHolders: [],
    othersRate: 0,
    standby: [],
    opening: [],
    settling: [],
    askedAt: 0,
    hasJoined: false,
    meter: undefined,
    exchanging: false,
    isNarrow: false,
    borrowing: undefined,
    waiters: [],
    borrowersNeed: 0,
    answerListeners: [],
  };
}

/** Whether the limit was raised and the row doesn't have it yet. */
export function isLimitRaised(holding: Holding): boolean {
  return holding.prepaid > holding.rowLimit;
}

/**
 * Returns how long the table has not answered about a customer, once that is
 * longer than an answer takes; waiting for it has no use then.
 */
export function computeOutage(holding: Holding, now: MonotonicTime): Millis {
  if (!holding.exchanging) return 0;
  const silent = now - holding.askedAt;
  return silent > USUAL_EXCHANGE ? silent : 0;
}

/** Returns the tokens that waiting requests need. */
export function sumWaiting(holding: Holding): Tokens {
  return holding.waiters.reduce((sum, each) => sum + each.tokens, 0);
}

/** Returns what is open of grants together. */
export function sumOpen(grants: readonly OpeningGrant[]): Tokens {
  return grants.reduce((sum, each) => sum + each.open, 0);
}
