/** What one VM knows of one target: an immutable record and what follows from it. */
import type {
  Millis,
  MonotonicTime,
  TargetConfig,
  Tokens,
} from "../core/mod.ts";

/** Whether a target is given new work. */
export enum TargetHealth {
  Healthy = "healthy",
  /** Said to be leaving; it keeps what it has and gets nothing new. */
  Leaving = "leaving",
  /** Taken out for a while because its attempts failed. */
  Ejected = "ejected",
  /** It did not answer over a new connection. */
  Unreachable = "unreachable",
  /** Back after an ejection; it gets one attempt at a time until one succeeds. */
  Probation = "probation",
}

/** A target's last report, with what this VM had open when it was measured. */
export interface KnownReport {
  readonly running: number;
  readonly queued: number;
  readonly models: readonly string[];
  readonly measuredAt: MonotonicTime;
  /** Work of other VMs by this report alone. */
  readonly latestOthersInFlight: number;
  /** Work of other VMs, smoothed over the reports so far. */
  readonly othersInFlight: number;
}

/** A sample of this VM's open attempts at a target. */
export interface OwnSample {
  readonly at: MonotonicTime;
  readonly inFlight: number;
}

/** The newest word on whether a target is leaving, its own or through a peer. */
export interface LeavingStatus {
  readonly leaving: boolean;
  readonly at: MonotonicTime;
}

/** What is known of one target. */
export interface TargetState {
  readonly config: TargetConfig;
  /** Attempts that this VM has open at it. */
  readonly inFlight: number;
  /** Prompt tokens of those attempts that have brought no token yet. */
  readonly unreadTokens: Tokens;
  readonly knownSince: MonotonicTime;
  /** Start of the slow start; absent when the target was there from the first. */
  readonly slowStartFrom?: MonotonicTime;
  readonly report?: KnownReport;
  readonly ownSamples: readonly OwnSample[];
  /** Whether the VM list says that it is leaving or has lost it. */
  readonly listedLeaving: boolean;
  readonly leavingStatus?: LeavingStatus;
  /** Attempts that failed since the last one that succeeded. */
  readonly failures: number;
  /** Ejections since the last attempt that succeeded. */
  readonly ejections: number;
  readonly ejectedUntil?: MonotonicTime;
  /** When it last failed to answer over a new connection, until it answers. */
  readonly unreachableSince?: MonotonicTime;
  /** Rises when cache events were lost, so that older holdings are doubted. */
  readonly cacheEpoch: number;
  /** Sequence number of the last cache event. */
  readonly cacheSequence?: number;
}

/** Time after which a target that did not answer is tried with one attempt. */
const UNREACHABLE_TIME: Millis = 10_000;

const SLOW_START: Millis = 30_000;
const SLOW_START_LEAST = 0.1;

/** Returns the record of a target that was just configured. */
export function createTargetState(
  config: TargetConfig,
  options: { readonly now: MonotonicTime; readonly slowStart: boolean },
): TargetState {
  const state = {
    config,
    inFlight: 0,
    unreadTokens: 0,
    knownSince: options.now,
    ownSamples: [],
    listedLeaving: false,
    failures: 0,
    ejections: 0,
    cacheEpoch: 0,
  };
  if (!options.slowStart) return state;
  return { ...state, slowStartFrom: options.now };
}

/** Returns whether a target is given new work at a time. */
export function computeHealth(
  target: TargetState,
  now: MonotonicTime,
): TargetHealth {
  if (target.listedLeaving || target.leavingStatus?.leaving === true) {
    return TargetHealth.Leaving;
  }
  const since = target.unreachableSince;
  if (since !== undefined) {
    return now - since < UNREACHABLE_TIME
      ? TargetHealth.Unreachable
      : TargetHealth.Probation;
  }
  if (target.ejectedUntil === undefined) return TargetHealth.Healthy;
  return now < target.ejectedUntil
    ? TargetHealth.Ejected
    : TargetHealth.Probation;
}

/** Returns the attempts that a target runs well at once, less while it is new. */
export function computeCapacity(
  target: TargetState,
  now: MonotonicTime,
): number {
  const from = target.slowStartFrom;
  if (from === undefined) return target.config.capacity;
  const grown = Math.max(SLOW_START_LEAST, (now - from) / SLOW_START);
  return target.config.capacity * Math.min(1, grown);
}
