/**
 * Exchange of load reports between VMs, so that only one VM of a region polls
 * each target instead of all of them.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import type { TargetState } from "../target_state.ts";
import { applyReport } from "./apply_report.ts";
import { recordProbe } from "./record_probe.ts";

/** The result of polling a target for its load, as exchanged between VMs. */
export interface PeerReport {
  readonly target: TargetId;
  /** Absent if the target did not answer. */
  readonly load?: {
    readonly running: number;
    readonly queued: number;
    readonly models: readonly string[];
    readonly leaving: boolean;
  };
  /**
   * Time since the load was measured, or since the target failed to answer. This
   * is an age and not a time, because the clocks of VMs are not compared.
   */
  readonly age: Millis;
}

/** Maximum number of reports in one message to a peer. */
const MAX_REPORTS = 16;

/** Reports older than this are not sent to peers. */
const MAX_REPORT_AGE: Millis = 10_000;

/**
 * Maximum time that a message takes from one VM to another. A report seems
 * newer than it is by the time that it was on its way.
 */
const MAX_RELAY_TIME: Millis = 1_000;

/**
 * Returns the last reports of the given targets for a message to peers, at most
 * 16. With more targets than that, successive rounds cycle through them.
 */
export function listReports(
  state: RoutingState,
  input: {
    /** Targets that this VM polls itself. */
    readonly ids: readonly TargetId[];
    /** Increases by one with each message. */
    readonly round: number;
    readonly now: MonotonicTime;
  },
): PeerReport[] {
  const { ids, round, now } = input;
  const count = Math.min(MAX_REPORTS, ids.length);
  const from = (round * MAX_REPORTS) % Math.max(1, ids.length);
  return Array.from({ length: count }, (_, index) => index)
    .map((index) => state.targets.get(ids[(from + index) % ids.length]!))
    .filter((target) => target !== undefined)
    .map((target) => describeReport(target, now))
    .filter((report) => report !== undefined);
}

/**
 * Applies a peer's reports. One is ignored if it is older than the known report
 * or may be older than the failure by which the target is unreachable.
 */
export function applyReports(
  state: RoutingState,
  input: {
    readonly reports: readonly PeerReport[];
    readonly now: MonotonicTime;
  },
): RoutingState {
  for (const each of input.reports) applyPeerReport(state, each, input.now);
  return state;
}

function applyPeerReport(
  state: RoutingState,
  report: PeerReport,
  now: MonotonicTime,
): void {
  const { target, load, age } = report;
  const known = state.targets.get(target);
  if (load !== undefined) {
    const failedAt = known?.unreachableSince ?? -Infinity;
    if (now - age - MAX_RELAY_TIME <= failedAt) return;
    applyReport(state, target, { report: load, now, age });
    return;
  }
  const newer = (known?.report?.measuredAt ?? -Infinity) < now - age;
  // A VM whose own network path is broken must not make the target unreachable
  // for all others: its failure counts only if an attempt of this VM failed too.
  const failing = (known?.failures ?? 0) > 0;
  if (newer && failing) recordProbe(state, target, { answered: false, now });
}

function describeReport(
  target: TargetState,
  now: MonotonicTime,
): PeerReport | undefined {
  const { id } = target.config;
  if (target.unreachableSince !== undefined) {
    return { target: id, age: now - target.unreachableSince };
  }
  if (target.report === undefined) return undefined;
  const { running, queued, models, measuredAt } = target.report;
  const age = now - measuredAt;
  const leaving = target.leavingStatus?.leaving === true;
  if (age > MAX_REPORT_AGE) return undefined;
  return { target: id, load: { running, queued, models, leaving }, age };
}
