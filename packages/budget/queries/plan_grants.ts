/** Says which grants a VM should ask for and which it should give back. */
import type { Millis, MonotonicTime, Tokens } from "../../core/mod.ts";
import {
  computeAccountRoom,
  computeGrantRoom,
  computeReserved,
  isGrantOpen,
} from "../account.ts";
import type { EventAccount, Grant } from "../account.ts";
import { chooseGiveBacks, type GiveBack } from "./choose_give_backs.ts";
import {
  computeGrantTargets,
  GRANT_SIZING,
  type GrantTargets,
  START_FACTOR,
  type TargetInput,
} from "./compute_grant_targets.ts";

/**
 * How long a grant takes new reservations, from when it was asked for. With
 * {@link RENEW_TIME} it bounds the store outage that a VM rides out.
 */
export const GRANT_TERM: Millis = 1_800_000;

/** Time before its deadline at which a grant that is still used is replaced. */
export const RENEW_TIME: Millis = 900_000;

/** Tokens are given back when more than this multiple of the target lies unused. */
const GIVE_BACK_FACTOR = 2;

/** Inputs of a plan. */
export interface PlanInput extends TargetInput {
  /** Upper bound of the requests that wait for tokens; 0 when none waits. */
  readonly need: Tokens;
}

/** What the account should do with the table now. */
export interface GrantPlan {
  /** Tokens to ask for, and the least that is of use; absent when none. */
  readonly take?: { readonly wanted: Tokens; readonly least: Tokens };
  /** Grants that take no reservation any more, with nothing reserved. */
  readonly close: readonly Grant[];
  /** Unused tokens to give back; the account must be changed first. */
  readonly giveBack: readonly GiveBack[];
  /** Standby grants to give back and tokens to take; absent for no change. */
  readonly standby?: StandbyPlan;
}

/** What to change about standby tokens. */
export interface StandbyPlan {
  readonly drops: readonly string[];
  /** 0 for none. */
  readonly take: Tokens;
}

/** Plans for an account. */
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
    const giveBack = listGiveBacks(account, { ...input, room, targets });
    return { close: ended, giveBack };
  }
  const wanted = computeWanted(account, { need, room, targets });
  const least = isShort ? need - room : 1;
  // Closing an empty grant alone is not worth a write; with a take it is free.
  const isLikely = (input.budgetLeft ?? Infinity) >= least;
  const empty = idle.filter((grant) =>
    isLikely && isGrantOpen(grant, now) && computeGrantRoom(grant) === 0
  );
  return {
    close: [...ended, ...empty],
    giveBack: [],
    take: { wanted, least },
  };
}

/**
 * Returns when the account next needs a plan if nothing is drawn before, or
 * undefined when it holds nothing.
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

/** Grows with what is in progress, so that a wave is met in a few doublings. */
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

/** Whether the account is still drawn on and all its grants end soon. */
function isRenewalDue(
  account: EventAccount,
  input: { readonly now: MonotonicTime; readonly targets: GrantTargets },
): boolean {
  const { now, targets } = input;
  const open = account.grants.filter((grant) => isGrantOpen(grant, now));
  return targets.high > 0 && open.length > 0 &&
    open.every((grant) => grant.deadline - now <= RENEW_TIME);
}

function listGiveBacks(
  account: EventAccount,
  input: PlanInput & { readonly room: Tokens; readonly targets: GrantTargets },
): GiveBack[] {
  const { now, room, targets } = input;
  const sizing = input.sizing ?? GRANT_SIZING[input.lean];
  const open = account.grants.filter((grant) => isGrantOpen(grant, now));
  const lastChange = Math.max(
    account.lastReturn,
    ...open.map((grant) => grant.deadline - GRANT_TERM),
  );
  const isSettled = now - lastChange >= sizing.returnAfter;
  if (!isSettled || room <= GIVE_BACK_FACTOR * targets.retained) return [];
  return chooseGiveBacks(open, room - targets.retained);
}
