/** Requests of one event that wait for tokens, in order of arrival. */
import type { Either } from "purify-ts";
import type {
  EventConfig,
  MonotonicTime,
  Refusal,
  Tokens,
} from "../../core/mod.ts";
import type { Reservation } from "../../budget/mod.ts";

/** One request that waits. */
export interface Waiter {
  readonly tokens: Tokens;
  readonly giveUpAt: MonotonicTime;
  resolve: (result: Either<Refusal, Reservation>) => void;
}

/** The waiting requests of one event and the traffic made for them. */
export class WaitQueue {
  /** The event as the latest request knew it. */
  event: EventConfig;
  /** Tokens left in the budget when the table last said so. */
  budgetLeft: Tokens | undefined;
  /** True while an exchange with the table is under way. */
  exchanging = false;
  /** True when the table's last answer did not cover the least wanted. */
  isShort = false;
  /** True from when loans were first needed until nobody waits. */
  isScarce = false;
  /** Asks for the first waiter alone, after the table could not cover all. */
  narrowed = false;
  waiters: Waiter[] = [];
  /** The round of loans under way. */
  borrowing: Promise<void> | undefined;

  constructor(event: EventConfig) {
    this.event = event;
  }

  /** Returns the tokens to ask the table for. */
  computeNeed(): Tokens {
    const waiting = this.narrowed ? this.waiters.slice(0, 1) : this.waiters;
    return waiting.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }
}
