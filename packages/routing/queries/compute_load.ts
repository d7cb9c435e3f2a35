/** How busy a target is, from own attempts and lagged reports. */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { computeCapacity, type TargetState } from "../target_state.ts";
import { computeReportedOthers } from "../target_table.ts";

/** Time in which a report loses half of its weight. */
const REPORT_HALF_LIFE: Millis = 2_000;

/**
 * Returns the work at a target as a part of its capacity; 1 means full.
 *
 * Own attempts are counted exactly. The work of other VMs is taken from the
 * last report, and the older that is, the more from the mean of the group: with
 * stale reports all targets look alike but for own attempts, so that VMs which
 * share a stale report do not all run to the same target.
 */
export function computeLoad(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const work = target.inFlight + computeOthers(state, target, now);
  return work / computeCapacity(target, now);
}

/**
 * Returns the load by which a target counts as full. It takes the last report
 * at its word where that is higher: in the first moments of a wave what has
 * lasted says nothing yet.
 */
export function computeFullness(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const others = computeOthers(state, target, now);
  const most = Math.max(others, target.report?.othersNow ?? 0);
  return (target.inFlight + most) / computeCapacity(target, now);
}

/** Returns the attempts of other VMs that a target is thought to have. */
export function computeOthers(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const mean = state.targets.computeMeanOthers(target.config.service);
  if (target.report === undefined) return mean;
  const age = Math.max(0, now - target.report.measuredAt);
  const weight = 0.5 ** (age / REPORT_HALF_LIFE);
  return weight * computeReportedOthers(target) + (1 - weight) * mean;
}
