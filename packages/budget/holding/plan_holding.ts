/**
 * How many tokens a VM holds of a customer's budget when what a dead VM held
 * can't be had back.
 *
 * A holding must carry the VM through a time without the store, and is lost
 * whole when the VM dies. It follows the rate of drawing, and is bounded by a
 * share of what is left that shrinks with the number of holders, so that the
 * fleet never holds most of a budget idle.
 */
import type { Millis, MonotonicTime, Tokens } from "../../core/mod.ts";
import { MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  computeAccountRoom,
  computeGrantRoom,
  type EventAccount,
  type Grant,
  isGrantOpen,
} from "../account.ts";
import type { GiveBack, GrantPlan } from "../queries/plan_grants.ts";

/** What a holding is planned from. */
export interface HoldingInput {
  readonly now: MonotonicTime;
  /** Upper bound of the requests that wait for tokens; 0 when none waits. */
  readonly need: Tokens;
  /** Tokens that nobody holds, when the row was last read; absent if never. */
  readonly budgetLeft?: Tokens;
  /** VMs that hold tokens of the budget, by the row. */
  readonly holders: number;
  /** Drawing by this VM in tokens per second; absent before the first draw. */
  readonly rate?: number;
  /** Drawing by other VMs in tokens per second, by the row. */
  readonly othersRate: number;
  /** How long the holding should last without the store. */
  readonly offline: Millis;
}

/** VMs that are provided for before the row shows how many there are. */
const LEAST_HOLDERS = 6;

/**
 * How much more than its part of the fleet's drawing a VM may hold of what is
 * left. What VMs want for their rates adds up to less than the whole until a
 * budget nears its end; then nearly all of it should be where it is drawn.
 */
const PART_FACTOR = 1.6;

/** Largest part of what is left that one VM holds, whatever it draws. */
const LARGEST_PART = 0.8;

/** Part of an equal share that a VM takes before it draws. */
const FIRST_SHARE = 0.6;

/** Usual requests that a holding covers besides what its rate says. */
const USUAL_REQUESTS = 3;

/** Part of the target below which a holding is filled up. */
const REFILL_BELOW = 0.8;

/** Multiple of the target above which tokens are given back. */
const GIVE_BACK_ABOVE = 1.5;

/** Returns the tokens that a VM should have unreserved. */
export function computeHoldingTarget(
  account: EventAccount,
  input: HoldingInput,
): Tokens {
  const room = computeAccountRoom(account, input.now);
  const pool = (input.budgetLeft ?? 0) + room;
  const equal = 1 / (Math.max(input.holders, LEAST_HOLDERS) + 1);
  if (input.rate === undefined) return Math.floor(pool * equal * FIRST_SHARE);
  const drawn = input.rate * input.offline / MILLIS_PER_SECOND;
  const wanted = drawn + USUAL_REQUESTS * account.usualHold;
  const part = input.rate / Math.max(1, input.rate + input.othersRate);
  const most = Math.min(LARGEST_PART, Math.max(equal / 2, part * PART_FACTOR));
  return Math.floor(Math.min(wanted, pool * most));
}

/** Plans what to take and what to give back. */
export function planHolding(
  account: EventAccount,
  input: HoldingInput,
): GrantPlan {
  const { now, need } = input;
  const room = computeAccountRoom(account, now);
  const target = computeHoldingTarget(account, input);
  const idle = account.grants.filter((grant) => grant.reserved === 0);
  const over = idle.filter((grant) => !isGrantOpen(grant, now));
  const isShort = need > room;
  const isLow = room < REFILL_BELOW * target && input.budgetLeft !== 0;
  if (isShort || isLow) {
    const empty = idle.filter((grant) =>
      isGrantOpen(grant, now) && computeGrantRoom(grant) === 0
    );
    return {
      close: [...over, ...empty],
      giveBack: [],
      take: {
        wanted: Math.max(1, need - room, target + need - room),
        least: isShort ? need - room : 1,
      },
    };
  }
  const excess = room > GIVE_BACK_ABOVE * target ? room - target - need : 0;
  return { close: over, giveBack: listGiveBacks(account, { excess, now }) };
}

function listGiveBacks(
  account: EventAccount,
  input: { readonly excess: Tokens; readonly now: MonotonicTime },
): GiveBack[] {
  let { excess } = input;
  const giveBacks: GiveBack[] = [];
  for (const grant of account.grants as readonly Grant[]) {
    if (!isGrantOpen(grant, input.now)) continue;
    const tokens = Math.min(excess, computeGrantRoom(grant));
    if (tokens <= 0) continue;
    giveBacks.push({ grant, tokens });
    excess -= tokens;
  }
  return giveBacks;
}
