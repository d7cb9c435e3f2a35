/**
 * Derives the turns at a cold target from the number of requests that it may get
 * in any second. A VM may use its turn until the turn lapses, so the requests of
 * one second use turns of `lapse` + 1 s, of which there are at most as many as
 * the VMs may send by one list of VMs.
 */
import { type Millis, MILLIS_PER_SECOND } from "../../core/mod.ts";

/** What a service's cold targets tolerate. */
export interface ColdTolerance {
  /** Requests per second that a cold target tolerates. */
  readonly perSecond: number;
  /** Factor of these by which a second may exceed them. */
  readonly overage: number;
  /** Requests by which a second may exceed them besides. */
  readonly slack: number;
}

/** The turns of all VMs at a cold target. */
export interface ColdTurns {
  /** Time from one turn to the next, in whole milliseconds. */
  readonly interval: Millis;
  /** Time after which an unused turn lapses. */
  readonly lapse: Millis;
}

/**
 * Part of the bound that VMs use which all know the same VMs and whose clocks
 * agree. The rest is for VMs that don't know of each other yet, for clocks that
 * differ and for requests that take different times to arrive. With a half, any
 * two lists of VMs would keep the bound; while all of 63 targets are cold, 71
 * VMs, 13 of which get half of the requests, would serve 65% in place of 77%.
 */
const USED_PART = 0.7;

/**
 * Minimum time for which a turn lasts, so that a VM with few requests finds one
 * that has not lapsed. A longer time leaves fewer turns.
 */
const MIN_LAPSE: Millis = 500;

/** Maximum time for which a turn lasts; shorter than a VM takes to join. */
const MAX_LAPSE: Millis = 2_000;

/**
 * Returns the turns at the cold targets of a service: at most `perSecond` of
 * them each second, and in any second at most {@link USED_PART} of the bound
 * `perSecond * overage + slack` can be used, but one in any case.
 */
export function computeColdTurns(tolerance: ColdTolerance): ColdTurns {
  const { perSecond, overage, slack } = tolerance;
  const bound = perSecond * overage + slack;
  const sends = Math.max(1, Math.floor(bound * USED_PART));
  const interval = Math.ceil(Math.max(
    MILLIS_PER_SECOND / perSecond,
    (MILLIS_PER_SECOND + MIN_LAPSE) / sends,
  ));
  const lapse = Math.min(MAX_LAPSE, sends * interval - MILLIS_PER_SECOND);
  return { interval, lapse };
}
