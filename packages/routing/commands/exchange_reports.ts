/**
 * Reports that VMs pass on to each other, so that a target is asked by one VM
 * of a region and not by all.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import type { TargetState } from "../target_state.ts";
import { applyReport } from "./apply_report.ts";
import { recordProbe } from "./record_probe.ts";

/** A target's report, as VMs pass it on. */
export interface PeerReport {
  readonly target: TargetId;
  /** Absent if the target did not answer. */
  readonly load?: {
    readonly running: number;
    readonly queued: number;
    readonly models: readonly string[];
    readonly leaving: boolean;
  };
  /** Time since the target was asked; clocks of VMs are not compared. */
  readonly age: Millis;
}

/** Reports in one message; a target is passed on when its turn comes. */
const MOST_REPORTS = 16;

/** Age from which a report is not worth passing on. */
const LONGEST_AGE: Millis = 10_000;

/**
 * Returns the newest reports of some targets, at most 16 at a time. With more
 * targets than that, successive rounds take turns.
 */
export function listReports(
  state: RoutingState,
  input: {
    /** Targets that this VM asks itself. */
    readonly ids: readonly TargetId[];
    /** Rises by one with each message. */
    readonly round: number;
    readonly now: MonotonicTime;
  },
): PeerReport[] {
  const { ids, round, now } = input;
  const count = Math.min(MOST_REPORTS, ids.length);
  const from = (round * MOST_REPORTS) % Math.max(1, ids.length);
  return Array.from({ length: count }, (_, index) => index)
    .map((index) => state.targets.get(ids[(from + index) % ids.length]!))
    .filter((target) => target !== undefined)
    .map((target) => describeReport(target, now))
    .filter((word) => word !== undefined);
}

/** Folds in reports that a peer passed on; older ones than known are ignored. */
export function applyReports(
  state: RoutingState,
  input: {
    readonly reports: readonly PeerReport[];
    readonly now: MonotonicTime;
  },
): RoutingState {
  for (const word of input.reports) applyWord(state, word, input.now);
  return state;
}

function applyWord(
  state: RoutingState,
  word: PeerReport,
  now: MonotonicTime,
): void {
  const { target, load, age } = word;
  if (load !== undefined) {
    applyReport(state, target, { report: load, now, age });
    return;
  }
  const known = state.targets.get(target);
  const newer = (known?.report?.measuredAt ?? -Infinity) < now - age;
  // One VM's broken path must not take a target from all others: its word
  // counts where an own attempt has failed as well.
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
  if (age > LONGEST_AGE) return undefined;
  return { target: id, load: { running, queued, models, leaving }, age };
}
