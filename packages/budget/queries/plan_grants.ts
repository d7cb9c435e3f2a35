/** Plans which grants a VM asks for, which it closes and what it returns. */
import type { Millis, MonotonicTime, Tokens } from "../../core/mod.ts";
import {
  computeAccountRoom,
  computeGrantRoom,
  computeReserved,
  isGrantOpen,
} from "../account.ts";
import type { EventAccount, Grant } from "../account.ts";
import {
  chooseGrantReturns,
  type GrantReturn,
} from "./choose_grant_returns.ts";
import {
  computeGrantTargets,
  GRANT_SIZING,
  type GrantTargets,
  START_FACTOR,
  type TargetInput,
} from "./compute_grant_targets.ts";

/**
 * How long a grant takes new reservations, counted from the request for it.
 * Together with {@link RENEW_TIME} it bounds the length of a store outage
 * during which a VM can go on serving requests.
 */
export const GRANT_TERM: Millis = 1_800_000;

/** How long before its deadline a grant that is still in use is replaced. */
export const RENEW_TIME: Millis = 900_000;

/**
 * Tokens are returned when more than this multiple of
 * {@link GrantTargets.retained} is available.
 */
const RETURN_FACTOR = 2;

/** What {@link planGrants} plans from. */
export interface PlanInput extends TargetInput {
  /**
   * Tokens that waiting requests need, by their upper bounds; 0 when none
   * waits.
   */
  readonly need: Tokens;
}

/** What an account should ask of the store and return to it now. */
export interface GrantPlan {
  /**
   * Tokens to ask for, and the smallest number worth granting; absent when
   * nothing should be taken.
   */
  readonly take?: {
    readonly wanted: Tokens;
    readonly least: Tokens;
    /** Id of an open grant to add the tokens to; absent for a new grant. */
    readonly into?: string;
  };
  /**
   * Grants to close: nothing is reserved from them, and they take no new
   * reservation or have no tokens available.
   */
  readonly close: readonly Grant[];
  /**
   * Available tokens to return. They must be removed from the account before
   * the exchange is sent to the store, so that no request can reserve them.
   */
  readonly grantReturns: readonly GrantReturn[];
  /** Change of the standby grants; absent for no change. */
  readonly standby?: StandbyPlan;
}

/** Standby grants to return and standby tokens to take. */
export interface StandbyPlan {
  /** Ids of the standby grants to return in full. */
  readonly drops: readonly string[];
  /** Standby tokens to ask for; 0 for none. */
  readonly take: Tokens;
}

/**
 * Plans the next exchange of an account. It takes a grant when waiting requests
 * need more than is available, when the available tokens are below the low
 * watermark, or when all grants are about to end; else it returns unused
 * tokens.
 */
export function planGrants(
  account: EventAccount,
  input: PlanInput,
): GrantPlan {
  const { now, need } = input;
  const room = computeAccountRoom(account, now);
  const targets = computeGrantTargets(account, input);
  const isShort = need > room;
  const isLow = room < targets.low && input.budgetLeft !== 0;
  const idle = account.grants.filter((grant) => grant.reserved === 0);
  const ended = idle.filter((grant) => !isGrantOpen(grant, now));
  if (!isShort && !isLow && !isRenewalDue(account, { now, targets })) {
    const returns = listGrantReturns(account, { ...input, room, targets });
    return { close: ended, grantReturns: returns };
  }
  const wanted = computeWanted(account, { need, room, targets });
  const least = isShort ? need - room : 1;
  // Closing an empty grant does not justify a write of its own; it is combined
  // with a take that is likely to obtain tokens.
  const isTakeLikely = (input.budgetLeft ?? Infinity) >= least;
  const empty = idle.filter((grant) =>
    isTakeLikely && isGrantOpen(grant, now) && computeGrantRoom(grant) === 0
  );
  return {
    close: [...ended, ...empty],
    grantReturns: [],
    take: { wanted, least },
  };
}

/**
 * Returns when the account's next exchange is to be planned if none of its
 * tokens are used before, or undefined when it holds no grant.
 */
export function computeNextDue(
  account: EventAccount,
  input: TargetInput,
): MonotonicTime | undefined {
  if (account.grants.length === 0) return undefined;
  const { now } = input;
  const room = computeAccountRoom(account, now);
  if (room < computeGrantTargets(account, input).low) return now;
  const sizing = input.sizing ?? GRANT_SIZING[input.lean];
  const ends = account.grants
    .filter((grant) => isGrantOpen(grant, now))
    .flatMap((grant) => [grant.deadline - RENEW_TIME, grant.deadline])
    .filter((time) => time > now);
  return Math.min(now + sizing.returnAfter, ...ends);
}

/**
 * Returns how many tokens to ask for. The number is at least what requests in
 * progress have reserved, so that a burst of requests is covered after a few
 * takes, each of which about doubles the tokens held.
 */
function computeWanted(
  account: EventAccount,
  input: {
    readonly need: Tokens;
    readonly room: Tokens;
    readonly targets: GrantTargets;
  },
): Tokens {
  const { need, room, targets } = input;
  const reserved = computeReserved(account);
  const useful = Math.max(targets.high - room, need * START_FACTOR, reserved);
  return Math.max(1, need - room, Math.min(useful, targets.maxRequest));
}

/**
 * Returns whether the account is still in use and all its open grants end soon.
 */
function isRenewalDue(
  account: EventAccount,
  input: { readonly now: MonotonicTime; readonly targets: GrantTargets },
): boolean {
  const { now, targets } = input;
  const open = account.grants.filter((grant) => isGrantOpen(grant, now));
  return targets.high > 0 && open.length > 0 &&
    open.every((grant) => grant.deadline - now <= RENEW_TIME);
}

/**
 * Chooses the returns of tokens above the target that were unused for long
 * enough: since both the last return and the newest open grant.
 */
function listGrantReturns(
  account: EventAccount,
  input: PlanInput & { readonly room: Tokens; readonly targets: GrantTargets },
): GrantReturn[] {
  const { now, room, targets } = input;
  const sizing = input.sizing ?? GRANT_SIZING[input.lean];
  const open = account.grants.filter((grant) => isGrantOpen(grant, now));
  const lastChange = Math.max(
    account.lastReturn,
    ...open.map((grant) => grant.deadline - GRANT_TERM),
  );
  const isSettled = now - lastChange >= sizing.returnAfter;
  if (!isSettled || room <= RETURN_FACTOR * targets.retained) return [];
  return chooseGrantReturns(open, room - targets.retained);
}
