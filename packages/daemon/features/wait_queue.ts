/** The queue of one event's requests that wait for tokens. */
import type { Either } from "purify-ts";
import type {
  EventConfig,
  MonotonicTime,
  Refusal,
  Tokens,
} from "../../core/mod.ts";
import type { Reservation } from "../../budget/mod.ts";

/** A request that waits for its reservation. */
export interface Waiter {
  /** Tokens to reserve. */
  readonly tokens: Tokens;
  /** When the request is refused if it has no reservation by then. */
  readonly giveUpAt: MonotonicTime;
  resolve: (result: Either<Refusal, Reservation>) => void;
}

/**
 * The waiting requests of one event, and the state of the grant exchange and
 * the loans that are made for them.
 */
export class WaitQueue {
  /** The event's configuration, as of the latest request. */
  event: EventConfig;
  /** Tokens left in the budget row, as of the store's last answer, if any. */
  budgetLeft: Tokens | undefined;
  /** True while a grant exchange with the store is in progress. */
  exchanging = false;
  /**
   * True when the store's last answer had no grant, because fewer tokens were
   * left than the minimum requested.
   */
  isBudgetShort = false;
  /**
   * True while only loans can serve the waiting requests. Set when a series of
   * loan requests starts, reset when a shortage of the budget ends with no
   * request waiting.
   */
  isScarce = false;
  /**
   * True when a grant is requested for the first waiter only, after the budget
   * could not cover the tokens of all waiters.
   */
  requestsFirstOnly = false;
  /** The waiting requests, in order of arrival. */
  waiters: Waiter[] = [];
  /** The series of loan requests in progress. */
  borrowing: Promise<void> | undefined;

  constructor(event: EventConfig) {
    this.event = event;
  }

  /** Returns the tokens to request from the store. */
  computeNeed(): Tokens {
    const waiting = this.requestsFirstOnly
      ? this.waiters.slice(0, 1)
      : this.waiters;
    return waiting.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }
}
