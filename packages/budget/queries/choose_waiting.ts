/**
 * Which of the requests that wait for an event's tokens go next.
 *
 * While the table can give more, they go in the order of their arrival. While
 * only loans help, tokens are scarce: whatever fits may pass, and loans are
 * asked for the smallest request, because that serves the most of them.
 */
import type { Tokens } from "../../core/mod.ts";

/** One request that waits; `tokens` is its upper bound. */
export interface WaitingRequest {
  readonly tokens: Tokens;
}

/** Returns the requests to serve now, in their order of arrival. */
export function listServable<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
  input: {
    readonly room: Tokens;
    /** Whether only loans can help. */
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

/** Returns the request to borrow for, or undefined when none waits. */
export function chooseRequestToBorrowFor<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
): Waiter | undefined {
  return waiters.reduce<Waiter | undefined>(
    (least, each) =>
      least === undefined || each.tokens < least.tokens ? each : least,
    undefined,
  );
}

/**
 * Returns the requests that no peer could help and that nothing is left to wait
 * for: they lack more than requests in progress hold here or at a peer, and
 * more than the table has.
 */
export function listUnservable<Waiter extends WaitingRequest>(
  waiters: readonly Waiter[],
  input: {
    readonly room: Tokens;
    readonly reserved: Tokens;
    /** Most tokens that requests in progress at one peer hold. */
    readonly reservedAtPeer: Tokens;
    /** Tokens left in the budget row when it was last read. */
    readonly budgetLeft: Tokens;
  },
): Waiter[] {
  const { room, reserved, reservedAtPeer, budgetLeft } = input;
  const hope = Math.max(reserved, reservedAtPeer, budgetLeft);
  return waiters.filter((waiter) => waiter.tokens - room > hope);
}
