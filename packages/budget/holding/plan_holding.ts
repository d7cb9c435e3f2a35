/**
 * Plans how many tokens a VM holds of a customer's budget, given that the
 * tokens of a dead VM cannot be recovered.
 *
 * A holding must last while the store is unavailable, and all of it is lost when
 * the VM dies. Its size follows the VM's spending rate, and is limited to a
 * share of the remaining budget that shrinks as the number of holders grows,
 * so that the VMs together never hold most of a budget idle.
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
import { chooseGrantReturns } from "../queries/choose_grant_returns.ts";
import { type GrantPlan, RENEW_TIME } from "../queries/plan_grants.ts";
import { isStandbyGrantId } from "../standby/standby_changes.ts";

/** Inputs from which a VM's holding is planned. */
export interface HoldingInput {
  readonly now: MonotonicTime;
  /** Upper bound of the tokens that waiting requests need; 0 if none waits. */
  readonly need: Tokens;
  /**
   * Tokens of the budget that no VM holds, as of the last read of the budget
   * row; absent if it was never read.
   */
  readonly budgetLeft?: Tokens;
  /** Number of VMs that hold tokens of the budget, by the budget row. */
  readonly holders: number;
  /**
   * Spending rate of this VM in tokens per second; absent before it reserved or
   * lent any.
   */
  readonly rate?: number;
  /**
   * Whether the first request of any customer reached this VM long enough ago
   * that a customer without a spending rate is taken to send it no requests.
   */
  readonly hasTraffic: boolean;
  /** Spending rate of the other VMs in tokens per second, by the budget row. */
  readonly othersRate: number;
  /**
   * How long active and standby tokens together should last while the store is
   * unavailable.
   */
  readonly outageCoverage: Millis;
  /** How long the active tokens should last at this VM's spending rate. */
  readonly activeCoverage: Millis;
  /**
   * Usual size of a request, over all customers; 0 before the first request.
   */
  readonly usualRequest: Tokens;
  /** Standby grants that this VM holds. */
  readonly standby: readonly StandbyHolding[];
  /**
   * Whether this VM holds the customer's tokens ahead of need. Other VMs hold
   * about one request's tokens and borrow the rest.
   */
  readonly isHolder: boolean;
}

/** A standby grant of a VM, as recorded in the budget row. */
export interface StandbyHolding {
  readonly grantId: string;
  readonly size: Tokens;
}

/** Numbers of active and standby tokens that a VM should hold. */
export interface HoldingTargets {
  /** Unreserved tokens outside standby grants, which may be used at once. */
  readonly active: Tokens;
  /** Tokens in standby grants. */
  readonly standby: Tokens;
}

/** Number of holders that is assumed while the budget row shows fewer. */
const MIN_HOLDERS = 6;

/**
 * A VM may hold at most its share of the spending rate of all VMs, times this
 * factor, of the remaining budget. What VMs need for their spending rates adds
 * up to less than the remaining budget until that is nearly used up. From then
 * on, nearly all of it should be held by the VMs that spend it.
 */
const SHARE_FACTOR = 1.6;

/**
 * Maximum share of the remaining budget that one VM holds at any spending rate.
 */
const MAX_SHARE = 0.8;

/**
 * Fraction of an equal share of the budget that a VM takes before there is any
 * traffic to show which VMs spend its tokens.
 */
const INITIAL_SHARE = 0.6;

/**
 * Minimum number of usual requests that the standby tokens cover on every home
 * VM, also on those that spend none of the customer's tokens.
 */
const MIN_STANDBY_REQUESTS = 2;

/**
 * Number of usual requests that active tokens cover in addition to what the
 * spending rate needs.
 */
const EXTRA_REQUESTS = 0.5;

/** Fraction of the active target below which the active tokens are refilled. */
const REFILL_THRESHOLD = 0.8;

/**
 * Multiples of the standby target between which standby grants are unchanged.
 */
const MIN_STANDBY_RATIO = 0.7;
const MAX_STANDBY_RATIO = 1.6;

/**
 * Number of standby grants from which the two smallest are merged into a new
 * one.
 */
const MAX_STANDBY_GRANTS = 5;

/** Multiple of the active target above which the excess is returned. */
const RETURN_THRESHOLD = 1.3;

/** Returns the numbers of active and standby tokens that a VM should hold. */
export function computeHoldingTargets(
  account: EventAccount,
  input: HoldingInput,
): HoldingTargets {
  if (!input.isHolder) {
    const usual = account.usualHold || input.usualRequest;
    return { active: Math.floor(usual), standby: 0 };
  }
  const room = computeAccountRoom(account, input.now);
  const pool = (input.budgetLeft ?? 0) + room + sumStandbySizes(input.standby);
  const equalShare = 1 / (Math.max(input.holders, MIN_HOLDERS) + 1);
  const hasNoTraffic = !input.hasTraffic && input.othersRate === 0;
  if (input.rate === undefined && hasNoTraffic) {
    return {
      active: Math.floor(pool * equalShare * INITIAL_SHARE),
      standby: 0,
    };
  }
  const rate = input.rate ?? 0;
  const share = rate / Math.max(1, rate + input.othersRate);
  const limit = pool *
    Math.min(MAX_SHARE, Math.max(equalShare / 2, share * SHARE_FACTOR));
  const usual = account.usualHold || input.usualRequest;
  const ratePerMilli = rate / MILLIS_PER_SECOND;
  const activeNeed = ratePerMilli * input.activeCoverage +
    EXTRA_REQUESTS * usual;
  const active = Math.floor(Math.min(activeNeed, limit));
  const offlineNeed = ratePerMilli *
    Math.max(0, input.outageCoverage - input.activeCoverage);
  const wanted = Math.max(offlineNeed, MIN_STANDBY_REQUESTS * usual);
  return {
    active,
    standby: Math.floor(Math.max(0, Math.min(wanted, limit - active))),
  };
}

/** Returns the total size of standby grants. */
export function sumStandbySizes(standby: readonly StandbyHolding[]): Tokens {
  return standby.reduce((sum, each) => sum + each.size, 0);
}

/** Plans which tokens to take from the budget and which to return to it. */
export function planHolding(
  account: EventAccount,
  input: HoldingInput,
): GrantPlan {
  const { now, need } = input;
  const room = computeAccountRoom(account, now);
  const targets = computeHoldingTargets(account, input);
  const unreserved = account.grants.filter((grant) => grant.reserved === 0);
  const expired = unreserved.filter((grant) => !isGrantOpen(grant, now));
  const isShort = need > room;
  const isLow = input.isHolder && input.budgetLeft !== 0 &&
    room < REFILL_THRESHOLD * targets.active;
  if (isShort || isLow) {
    const grown = chooseGrownGrant(account, now);
    const empty = unreserved.filter((grant) =>
      isGrantOpen(grant, now) && computeGrantRoom(grant) === 0 &&
      grant.loans.length === 0 && grant !== grown
    );
    const missing = Math.max(0, need - room);
    const isStandbyNeeded = missing > (input.budgetLeft ?? Infinity);
    return {
      close: [...expired, ...empty],
      grantReturns: [],
      take: {
        wanted: Math.max(1, missing, targets.active - room + need),
        least: Math.max(1, missing),
        ...(grown === undefined ? {} : { into: grown.id }),
      },
      ...planStandby(input, { targets, isNeeded: isStandbyNeeded }),
    };
  }
  // Unspent tokens of loans go back to their lenders.
  const open = account.grants.filter((grant) =>
    isGrantOpen(grant, now) && grant.lenderGrantId === undefined
  );
  const excess = room > RETURN_THRESHOLD * targets.active
    ? room - targets.active - need
    : 0;
  return {
    close: expired,
    grantReturns: chooseGrantReturns(open, excess),
    ...planStandby(input, { targets, isNeeded: false }),
  };
}

/**
 * Chooses the grant that new tokens are added to, so that the budget row has
 * few entries and loans can be settled with the grant that they come from.
 * Returns undefined when there is none or it must be replaced soon.
 */
function chooseGrownGrant(
  account: EventAccount,
  now: MonotonicTime,
): Grant | undefined {
  return account.grants
    .filter((grant) =>
      grant.lenderGrantId === undefined && !isStandbyGrantId(grant.id)
    )
    .filter((grant) => !grant.closing && grant.deadline - now > RENEW_TIME)
    .toSorted((left, right) => right.deadline - left.deadline)[0];
}

/**
 * Plans changes of the standby grants. A standby grant is returned in full,
 * since no part of it may be used before it is unlocked. When the target rises,
 * the grants held are kept and another one is taken: tokens that are being
 * returned or taken cannot be used, and the store may become unavailable at any
 * moment.
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
  if (held > target * MAX_STANDBY_RATIO) {
    const drops = chooseDrops(standby, held - target);
    const take = Math.max(0, target - held + sumStandbySizes(drops));
    return { standby: { drops: ids(drops), take } };
  }
  if (held >= target * MIN_STANDBY_RATIO || input.budgetLeft === 0) return {};
  const drops = standby.length < MAX_STANDBY_GRANTS
    ? []
    : sortBySize(standby).slice(0, 2);
  return {
    standby: {
      drops: ids(drops),
      take: target - held + sumStandbySizes(drops),
    },
  };
}

function sortBySize(standby: readonly StandbyHolding[]): StandbyHolding[] {
  return standby.toSorted((left, right) => left.size - right.size);
}

/** Chooses the largest grants, as few as together cover an excess. */
function chooseDrops(
  standby: readonly StandbyHolding[],
  excess: Tokens,
): StandbyHolding[] {
  const drops: StandbyHolding[] = [];
  for (const each of sortBySize(standby).toReversed()) {
    if (sumStandbySizes(drops) >= excess) break;
    drops.push(each);
  }
  return drops;
}
