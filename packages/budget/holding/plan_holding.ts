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
  /** Whether this VM has served other customers for a while. */
  readonly isTrafficOn: boolean;
  /** Drawing by other VMs in tokens per second, by the row. */
  readonly othersRate: number;
  /** How long the holding should last without the store. */
  readonly offline: Millis;
  /** How long the tokens that may be used at once should last. */
  readonly active: Millis;
  /** The standby grant held, if any. */
  readonly standby: StandbyHolding | undefined;
}

/** Standby tokens of a VM, as the table knows them. */
export interface StandbyHolding {
  readonly grantId: string;
  readonly size: Tokens;
}

/** What a VM should hold, without what is reserved. */
export interface HoldingTargets {
  readonly active: Tokens;
  readonly standby: Tokens;
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

/** Part of an equal share that a VM takes before any traffic shows who draws. */
const FIRST_SHARE = 0.6;

/** Part of an equal share kept for a customer that draws at other VMs only. */
const IDLE_SHARE = 0.06;

/** Usual requests that a holding covers besides what its rate says. */
const USUAL_REQUESTS = 1;

/** Part of the target below which a holding is filled up. */
const REFILL_BELOW = 0.8;

/** Parts of the target within which standby tokens are left alone. */
const STANDBY_LOW = 0.7;
const STANDBY_HIGH = 1.6;

/** Multiple of the target above which tokens are given back. */
const GIVE_BACK_ABOVE = 1.3;

/** Returns the tokens that a VM should have for use and on standby. */
export function computeHoldingTargets(
  account: EventAccount,
  input: HoldingInput,
): HoldingTargets {
  const room = computeAccountRoom(account, input.now);
  const pool = (input.budgetLeft ?? 0) + room + (input.standby?.size ?? 0);
  const equal = 1 / (Math.max(input.holders, LEAST_HOLDERS) + 1);
  if (input.rate === undefined) {
    const share = input.isTrafficOn ? IDLE_SHARE : FIRST_SHARE;
    const active = Math.floor(pool * equal * share);
    return { active, standby: 0 };
  }
  const part = input.rate / Math.max(1, input.rate + input.othersRate);
  const most = pool *
    Math.min(LARGEST_PART, Math.max(equal / 2, part * PART_FACTOR));
  const perMilli = input.rate / MILLIS_PER_SECOND;
  const used = perMilli * input.active + USUAL_REQUESTS * account.usualHold;
  const active = Math.floor(Math.min(used, most));
  const rest = perMilli * Math.max(0, input.offline - input.active);
  const standby = Math.floor(Math.max(0, Math.min(rest, most - active)));
  return { active, standby };
}

/** Plans what to take and what to give back. */
export function planHolding(
  account: EventAccount,
  input: HoldingInput,
): GrantPlan {
  const { now, need } = input;
  const room = computeAccountRoom(account, now);
  const targets = computeHoldingTargets(account, input);
  const idle = account.grants.filter((grant) => grant.reserved === 0);
  const over = idle.filter((grant) => !isGrantOpen(grant, now));
  const isShort = need > room;
  const isLow = room < REFILL_BELOW * targets.active && input.budgetLeft !== 0;
  if (isShort || isLow) {
    const empty = idle.filter((grant) =>
      isGrantOpen(grant, now) && computeGrantRoom(grant) === 0
    );
    const missing = Math.max(0, need - room);
    const takesStandby = missing > (input.budgetLeft ?? Infinity);
    return {
      close: [...over, ...empty],
      giveBack: [],
      take: {
        wanted: Math.max(1, missing, targets.active - room + need),
        least: Math.max(1, missing),
      },
      ...planStandby(input, { targets, isNeeded: takesStandby }),
    };
  }
  const excess = room > GIVE_BACK_ABOVE * targets.active
    ? room - targets.active - need
    : 0;
  return {
    close: over,
    giveBack: listGiveBacks(account, { excess, now }),
    ...planStandby(input, { targets, isNeeded: false }),
  };
}

/**
 * Standby tokens are given back and taken whole, since nobody may use a part of
 * them, and seldom, since they can't be used while the table is asked.
 */
function planStandby(
  input: HoldingInput,
  options: { readonly targets: HoldingTargets; readonly isNeeded: boolean },
): Pick<GrantPlan, "standby"> {
  const { standby } = input;
  const target = options.targets.standby;
  if (options.isNeeded) {
    return standby === undefined ? {} : { standby: { drop: standby.grantId } };
  }
  const held = standby?.size ?? 0;
  const isFit = held >= target * STANDBY_LOW && held <= target * STANDBY_HIGH;
  const isWorthwhile = Math.max(held, target) > 0 && input.budgetLeft !== 0;
  if (isFit || (!isWorthwhile && held <= target)) return {};
  return {
    standby: {
      ...(standby === undefined ? {} : { drop: standby.grantId }),
      ...(target > 0 ? { take: target } : {}),
    },
  };
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
