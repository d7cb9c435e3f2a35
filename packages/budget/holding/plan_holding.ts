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
  isGrantOpen,
} from "../account.ts";
import { chooseGiveBacks } from "../queries/choose_give_backs.ts";
import type { GrantPlan } from "../queries/plan_grants.ts";

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
  /** Whether this VM has served any customer for a while. */
  readonly isTrafficOn: boolean;
  /** Drawing by other VMs in tokens per second, by the row. */
  readonly othersRate: number;
  /** How long the holding should last without the store. */
  readonly offline: Millis;
  /** How long the tokens that may be used at once should last. */
  readonly active: Millis;
  /** Usual size of a request of any customer; 0 before the first. */
  readonly usualRequest: Tokens;
  /** The standby grants held. */
  readonly standby: readonly StandbyHolding[];
  /** Whether this VM keeps tokens for others of its region, who only borrow. */
  readonly isHome: boolean;
}

/** One standby grant of a VM, as the table knows it. */
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

/** Requests for which every VM has standby tokens, whoever draws where. */
const STANDBY_REQUESTS = 2;

/** Usual requests that a holding covers besides what its rate says. */
const USUAL_REQUESTS = 0.5;

/** Part of the target below which a holding is filled up. */
const REFILL_BELOW = 0.8;

/** Parts of the target within which standby tokens are left alone. */
const STANDBY_LOW = 0.7;
const STANDBY_HIGH = 1.6;

/** Standby grants beyond which the smallest are put together. */
const MOST_STANDBY_GRANTS = 5;

/** Multiple of the target above which tokens are given back. */
const GIVE_BACK_ABOVE = 1.3;

/** Returns the tokens that a VM should have for use and on standby. */
export function computeHoldingTargets(
  account: EventAccount,
  input: HoldingInput,
): HoldingTargets {
  if (!input.isHome) {
    const usual = account.usualHold || input.usualRequest;
    return { active: Math.floor(usual), standby: 0 };
  }
  const room = computeAccountRoom(account, input.now);
  const pool = (input.budgetLeft ?? 0) + room + sumStandbySizes(input.standby);
  const equal = 1 / (Math.max(input.holders, LEAST_HOLDERS) + 1);
  const isQuiet = !input.isTrafficOn && input.othersRate === 0;
  if (input.rate === undefined && isQuiet) {
    return { active: Math.floor(pool * equal * FIRST_SHARE), standby: 0 };
  }
  const rate = input.rate ?? 0;
  const part = rate / Math.max(1, rate + input.othersRate);
  const most = pool *
    Math.min(LARGEST_PART, Math.max(equal / 2, part * PART_FACTOR));
  const usual = account.usualHold || input.usualRequest;
  const perMilli = rate / MILLIS_PER_SECOND;
  const used = perMilli * input.active + USUAL_REQUESTS * usual;
  const active = Math.floor(Math.min(used, most));
  const rest = perMilli * Math.max(0, input.offline - input.active);
  const wanted = Math.max(rest, STANDBY_REQUESTS * usual);
  return {
    active,
    standby: Math.floor(Math.max(0, Math.min(wanted, most - active))),
  };
}

/** Returns the sizes of standby grants together. */
export function sumStandbySizes(standby: readonly StandbyHolding[]): Tokens {
  return standby.reduce((sum, each) => sum + each.size, 0);
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
  const isLow = input.isHome && input.budgetLeft !== 0 &&
    room < REFILL_BELOW * targets.active;
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
  const open = account.grants.filter((grant) => isGrantOpen(grant, now));
  const excess = room > GIVE_BACK_ABOVE * targets.active
    ? room - targets.active - need
    : 0;
  return {
    close: over,
    giveBack: chooseGiveBacks(open, excess),
    ...planStandby(input, { targets, isNeeded: false }),
  };
}

/**
 * Standby grants are given back whole, since nobody may use a part of one, and
 * a larger target is met by one more: tokens on their way back or in can't be
 * used, and a time without the table may begin at any moment.
 */
function planStandby(
  input: HoldingInput,
  options: { readonly targets: HoldingTargets; readonly isNeeded: boolean },
): Pick<GrantPlan, "standby"> {
  const { standby } = input;
  const ids = (list: readonly StandbyHolding[]) =>
    list.map((each) => each.grantId);
  if (options.isNeeded) {
    return standby.length === 0
      ? {}
      : { standby: { drops: ids(standby), take: 0 } };
  }
  const target = options.targets.standby;
  const held = sumStandbySizes(standby);
  if (held > target * STANDBY_HIGH) {
    const drops = chooseDrops(standby, held - target);
    const take = Math.max(0, target - held + sumStandbySizes(drops));
    return { standby: { drops: ids(drops), take } };
  }
  if (held >= target * STANDBY_LOW || input.budgetLeft === 0) return {};
  const drops = standby.length < MOST_STANDBY_GRANTS
    ? []
    : chooseSmallest(standby).slice(0, 2);
  return {
    standby: {
      drops: ids(drops),
      take: target - held + sumStandbySizes(drops),
    },
  };
}

function chooseSmallest(standby: readonly StandbyHolding[]): StandbyHolding[] {
  return standby.toSorted((left, right) => left.size - right.size);
}

/** Chooses the fewest grants that cover an excess. */
function chooseDrops(
  standby: readonly StandbyHolding[],
  excess: Tokens,
): StandbyHolding[] {
  const drops: StandbyHolding[] = [];
  for (const each of chooseSmallest(standby).toReversed()) {
    if (sumStandbySizes(drops) >= excess) break;
    drops.push(each);
  }
  return drops;
}
