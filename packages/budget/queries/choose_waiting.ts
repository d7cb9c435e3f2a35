/**
 * Decides which of the requests that wait for an event's tokens are served
 * next.
 *
 * While the store can grant more tokens, requests are served in order of
 * arrival. While only loans from other VMs can supply tokens, tokens are scarce:
 * a request that the available tokens cover may overtake larger ones, and loans
 * are requested for the smallest request, because that serves the largest number
 * of requests.
 */
import type { Tokens } from "../../core/mod.ts";

/** A request that waits for tokens. */
export interface WaitingRequest {
  /**
   * Upper bound of what the request can spend; reserved before it is served.
   */
  readonly tokens: Tokens;
}

/** Returns the requests to serve now, in their order of arrival. */
export function listServable<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
  input: {
    /** Tokens available in the account. */
    readonly room: Tokens;
    /** Whether only loans can supply more tokens. */
    readonly isScarce: boolean;
  },
): Waiter[] {
  const served: Waiter[] = [];
  let { room } = input;
  for (const waiter of waiters) {
    if (waiter.tokens <= room) {
      served.push(waiter);
      room -= waiter.tokens;
    } else if (!input.isScarce) return served;
  }
  return served;
}

/**
 * Returns the waiting request for which a loan should be requested: the
 * smallest, or undefined when none waits.
 */
export function chooseRequestToBorrowFor<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
): Waiter | undefined {
  return waiters.reduce<Waiter | undefined>(
    (smallest, each) =>
      smallest === undefined || each.tokens < smallest.tokens ? each : smallest,
    undefined,
  );
}

/**
 * Returns the waiting requests that cannot be served any more. The shortfall of
 * such a request exceeds every source of tokens by itself: what requests in
 * progress hold here, what they hold at one peer, and what the budget row has
 * left.
 */
export function listUnservable<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
  input: {
    /** Tokens available in the account. */
    readonly room: Tokens;
    /** Tokens reserved by requests in progress on this VM. */
    readonly reserved: Tokens;
    /**
     * Largest number of tokens reserved by requests in progress at one peer.
     */
    readonly reservedAtPeer: Tokens;
    /** Tokens left in the budget row when it was last read. */
    readonly budgetLeft: Tokens;
  },
): Waiter[] {
  const { room, reserved, reservedAtPeer, budgetLeft } = input;
  const obtainable = Math.max(reserved, reservedAtPeer, budgetLeft);
  return waiters.filter((waiter) => waiter.tokens - room > obtainable);
}
