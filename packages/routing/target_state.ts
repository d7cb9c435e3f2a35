/**
 * The immutable record of what one VM knows of a target, and the health and
 * capacity derived from it.
 */
import type {
  Millis,
  MonotonicTime,
  StoreTime,
  TargetConfig,
  Tokens,
} from "../core/mod.ts";
import type { ColdTurns } from "./cold_target/compute_cold_turns.ts";

/** Health of a target, which decides whether it gets new attempts. */
export enum TargetHealth {
  /** Gets new attempts. */
  Healthy = "healthy",
  /**
   * Known to be leaving: it finishes its open attempts and gets no new ones.
   */
  Leaving = "leaving",
  /** Excluded for a time because attempts at it failed. */
  Ejected = "ejected",
  /** Excluded for a time because it did not answer over a new connection. */
  Unreachable = "unreachable",
  /** After an exclusion: gets one attempt at a time until one succeeds. */
  Probation = "probation",
}

/** A target's last load report, and other VMs' attempts derived from it. */
export interface KnownReport {
  readonly running: number;
  readonly queued: number;
  readonly models: readonly string[];
  readonly measuredAt: MonotonicTime;
  /** Attempts of other VMs in flight, by this report alone. */
  readonly latestOthersInFlight: number;
  /** Attempts of other VMs in flight, smoothed over all reports so far. */
  readonly othersInFlight: number;
}

/** The number of this VM's open attempts at a target at one time. */
export interface OwnSample {
  readonly at: MonotonicTime;
  readonly inFlight: number;
}

/** Whether a target is leaving, as reported by itself or relayed by a peer. */
export interface LeavingStatus {
  readonly leaving: boolean;
  readonly at: MonotonicTime;
}

/** A limit on requests that a target has named, and that all VMs share. */
export interface TargetLimit {
  /**
   * Requests per second that the target accepts from all VMs together; absent
   * if it names no limit any more.
   */
  readonly perSecond?: number;
  /** The latest time at which this was true, as far as known. */
  readonly at: StoreTime;
  /** The last turn of this VM that it used; absent if it used none. */
  readonly usedTurn?: StoreTime;
}

/** A target that tolerates few requests until a time. */
export interface ColdState {
  /** Infinity while it can't be reached. */
  readonly until: MonotonicTime;
  readonly turns: ColdTurns;
  /** The last turn of this VM that it used; absent if it used none. */
  readonly usedTurn?: StoreTime;
}

/** What one VM knows of a target. */
export interface TargetState {
  readonly config: TargetConfig;
  /** This VM's open attempts at the target. */
  readonly inFlight: number;
  /** Prompt tokens of those attempts that have not yet produced a token. */
  readonly unreadTokens: Tokens;
  /** When the target was added to this VM's routing state. */
  readonly knownSince: MonotonicTime;
  /** Start of the last slow start; absent if the target never had one. */
  readonly slowStartFrom?: MonotonicTime;
  readonly report?: KnownReport;
  /** Until when the target has asked this VM for a pause; absent if never. */
  readonly pausedUntil?: MonotonicTime;
  /** Absent if the target has never named a limit. */
  readonly limit?: TargetLimit;
  /** Absent if the target was not cold since it was added. */
  readonly cold?: ColdState;
  /** The latest samples of `inFlight`, one per report, oldest first. */
  readonly ownSamples: readonly OwnSample[];
  /** Whether the VM list shows it as leaving or no longer contains it. */
  readonly listedLeaving: boolean;
  /** The newest leaving notice from the target or a peer. */
  readonly leavingStatus?: LeavingStatus;
  /**
   * Number of failed attempts since the last successful one, or since the
   * target was last found reachable again.
   */
  readonly failures: number;
  /** Number of ejections since the last successful attempt. */
  readonly ejections: number;
  readonly ejectedUntil?: MonotonicTime;
  /**
   * When it last failed to answer over a new connection; absent once it
   * answers.
   */
  readonly unreachableSince?: MonotonicTime;
  /**
   * Incremented when cache events were lost, which invalidates older prefix
   * entries.
   */
  readonly cacheEpoch: number;
  /** Sequence number of the last applied cache event. */
  readonly cacheSequence?: number;
}

/** Time after which an unreachable target is tried with one attempt. */
const UNREACHABLE_PERIOD: Millis = 10_000;

/**
 * Time in which the capacity of a new or returned target rises to the full
 * value.
 */
const SLOW_START_PERIOD: Millis = 30_000;

/** Minimum fraction of its capacity that a target has during the slow start. */
const SLOW_START_MIN_FRACTION = 0.1;

/** Returns the initial record of a newly configured target. */
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

/** Returns the health of a target at a time. */
export function computeHealth(
  target: TargetState,
  now: MonotonicTime,
): TargetHealth {
  if (target.listedLeaving || target.leavingStatus?.leaving === true) {
    return TargetHealth.Leaving;
  }
  const since = target.unreachableSince;
  if (since !== undefined) {
    return now - since < UNREACHABLE_PERIOD
      ? TargetHealth.Unreachable
      : TargetHealth.Probation;
  }
  if (target.ejectedUntil === undefined) return TargetHealth.Healthy;
  return now < target.ejectedUntil
    ? TargetHealth.Ejected
    : TargetHealth.Probation;
}

/**
 * Returns how many attempts a target can run concurrently, reduced during slow
 * start.
 */
export function computeCapacity(
  target: TargetState,
  now: MonotonicTime,
): number {
  const from = target.slowStartFrom;
  if (from === undefined) return target.config.capacity;
  const fraction = Math.max(
    SLOW_START_MIN_FRACTION,
    (now - from) / SLOW_START_PERIOD,
  );
  return target.config.capacity * Math.min(1, fraction);
}
