/**
 * Divides the rate that a target accepts from all VMs together by turns. Turns
 * follow each other at that rate on the clock that the VMs share, and belong to
 * the VMs in order, so that the VMs need not talk to each other. A target that
 * accepts less than one request a second for each VM could not be protected by
 * buckets: even one request from each VM at once may be too many.
 *
 * A turn may be used for some time after it came. In any period of T seconds
 * the VMs thus send at most `perSecond * (T + 1.5) + 3` requests.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type StoreTime,
} from "../../core/mod.ts";

/** Time after which an unused turn lapses, besides {@link LASTING_TURNS}. */
const TURN_TTL: Millis = 1_500;

/** Number of turns of all VMs for whose time a turn lasts longer. */
const LASTING_TURNS = 2;

/**
 * Least rate that is divided. A target that accepts nothing gets a request now
 * and then, since only its answers show that it accepts more again.
 */
const MIN_PER_SECOND = 0.25;

/** Highest rate that is divided; a higher one binds no VM. */
const MAX_PER_SECOND = 100_000;

/**
 * Minimum time between two turns that a VM uses, as a fraction of the time in
 * which all VMs have one. When the order changes, a VM may be given a turn
 * right after the one it has used.
 */
const MIN_SPACING = 0.5;

/** The place of this VM among all VMs, which know the same order. */
export interface VmOrder {
  readonly index: number;
  readonly count: number;
}

/** What decides whether this VM may send a request to a limited target. */
export interface TurnInput {
  /** Requests per second that the target accepts from all VMs together. */
  readonly perSecond: number;
  /** Hash of the target, so that a VM's turns at targets differ in time. */
  readonly targetHash: number;
  readonly order: VmOrder;
  readonly now: StoreTime;
  /** The last turn that this VM used; absent if it used none. */
  readonly used?: StoreTime;
}

/**
 * Returns the time of the turn that this VM may use now, the oldest that has not
 * lapsed; undefined if it has none.
 */
export function findTurn(input: TurnInput): StoreTime | undefined {
  const { now, order, targetHash, used = -Infinity } = input;
  const interval = computeInterval(input.perSecond);
  const notBefore = Math.max(
    now - TURN_TTL - LASTING_TURNS * interval,
    used + order.count * interval * MIN_SPACING,
  );
  const first = Math.ceil(notBefore / interval);
  const passed = (first + targetHash) % order.count;
  const turns = (order.index - passed + order.count) % order.count;
  const turn = (first + turns) * interval;
  return turn <= now ? turn : undefined;
}

/** Returns the time until any VM has its next turn at a target. */
export function computeNextTurn(perSecond: number, now: StoreTime): Millis {
  const interval = computeInterval(perSecond);
  return interval - now % interval;
}

function computeInterval(perSecond: number): Millis {
  const bounded = Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
  return MILLIS_PER_SECOND / bounded;
}
