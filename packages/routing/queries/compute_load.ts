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

/** Time that a start may take to show in a report. */
const REPORT_DELAY: Millis = 2_000;

/**
 * Returns the load by which a target counts as full. It takes the last report
 * at its word where that is higher: in the first moments of a wave what has
 * lasted says nothing yet. What reports cannot show yet is guessed: the other
 * VMs are taken to start as much as this one did.
 */
export function computeFullness(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const others = computeOthers(state, target, now);
  const most = Math.max(others, target.report?.latestOthersInFlight ?? 0);
  const unseen = computeRecentStarts(target, now) * (state.vms.count - 1);
  return (target.inFlight + most + unseen) / computeCapacity(target, now);
}

function computeRecentStarts(target: TargetState, now: MonotonicTime): number {
  const recent = target.ownSamples
    .filter((sample) => now - sample.at < REPORT_DELAY)
    .map((sample) => sample.inFlight);
  return target.inFlight - Math.min(target.inFlight, ...recent);
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
