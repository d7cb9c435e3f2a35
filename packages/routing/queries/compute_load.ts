/** Estimates the load of a target from own attempts and delayed reports. */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { computeCapacity, type TargetState } from "../target_state.ts";
import { readReportedOthersInFlight } from "../target_table.ts";

/** Half-life of the weight of a report, by its age. */
const REPORT_HALF_LIFE: Millis = 2_000;

/**
 * Returns the load of a target as a fraction of its capacity; 1 means full.
 *
 * This VM's own attempts are counted exactly. Attempts of other VMs are
 * estimated from the last report and, with increasing age of the report, from
 * the mean over the service's targets. With stale reports, the loads of targets
 * then differ only by own attempts, so that VMs with the same stale report do
 * not all choose the same target.
 */
export function computeLoad(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const attempts = target.inFlight + computeOthersInFlight(state, target, now);
  return attempts / computeCapacity(target, now);
}

/** Time after which a started attempt is assumed to show in reports. */
const REPORT_DELAY: Millis = 2_000;

/**
 * Returns the load by which a target counts as full. Where the unsmoothed last
 * report is higher than the estimate, it is used instead, because the smoothed
 * value lags at the start of a load peak. Attempts too recent to show in reports
 * are estimated: every other VM is assumed to have started as many as this one.
 */
export function computeFullness(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const others = computeOthersInFlight(state, target, now);
  const maxOthers = Math.max(others, target.report?.latestOthersInFlight ?? 0);
  const unreported = computeRecentStarts(target, now) * (state.vms.count - 1);
  return (target.inFlight + maxOthers + unreported) /
    computeCapacity(target, now);
}

/** Returns by how much this VM's open attempts rose within the report delay. */
function computeRecentStarts(target: TargetState, now: MonotonicTime): number {
  const recent = target.ownSamples
    .filter((sample) => now - sample.at < REPORT_DELAY)
    .map((sample) => sample.inFlight);
  return target.inFlight - Math.min(target.inFlight, ...recent);
}

/** Returns the estimated number of open attempts of other VMs at a target. */
export function computeOthersInFlight(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): number {
  const mean = state.targets.computeMeanOthersInFlight(target.config.service);
  if (target.report === undefined) return mean;
  const age = Math.max(0, now - target.report.measuredAt);
  const weight = 0.5 ** (age / REPORT_HALF_LIFE);
  return weight * readReportedOthersInFlight(target) + (1 - weight) * mean;
}
