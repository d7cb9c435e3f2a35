/**
 * Decides how long a target counts as cold, by its own entry and by what one VM
 * has seen of it. Times are kept apart from the service's setting of how long a
 * target is cold, which may become known later or change.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** Why a target counts as cold. */
export enum ColdReason {
  /** Its entry says so. */
  Reported = "reported",
  /** It is a new process, or a new target of a service that was known. */
  Started = "started",
  /** It can't be reached, and may have restarted when it answers again. */
  Unreachable = "unreachable",
  /** It answers again after it was unreachable. */
  Returned = "returned",
  /** An evacuation of its data centre has ended. */
  Evacuated = "evacuated",
}

/** What one VM knows of the times at which a target was cold. */
export interface ColdTimes {
  /** Until when its entry says that it is cold; absent if it does not. */
  readonly reportedUntil?: MonotonicTime;
  /** The last time from which it is cold for as long as after its start. */
  readonly from?: MonotonicTime;
  /** Why it is cold from then on. */
  readonly reason?: ColdReason;
  /** When it was first not reached since its last answer. */
  readonly unreachedSince?: MonotonicTime;
  readonly isUnreachable?: boolean;
}

/** For how long a target is cold, and why. */
export interface ColdPeriod {
  /** Infinity while it can't be reached. */
  readonly until: MonotonicTime;
  readonly reason: ColdReason;
}

/**
 * Difference between two entries' ends of the cold time that shows a changed
 * end. Entries arrive at different times after they were written.
 */
const COLD_TIME_TOLERANCE: Millis = 1_000;

/**
 * Time for which no connection to a target was established, over any path, from
 * which on it counts as unreachable. One that fails alone may be due to a full
 * link or a busy processor of this VM.
 */
const UNREACHABLE_AFTER: Millis = 1_000;

/**
 * Applies the remaining cold time of an entry that was just read. Returns the
 * same object if it only counts down.
 */
export function applyReportedCold(
  times: ColdTimes,
  input: { readonly remaining: Millis; readonly now: MonotonicTime },
): ColdTimes {
  const { reportedUntil: known, ...rest } = times;
  if (input.remaining === 0) return known === undefined ? times : rest;
  const until = input.now + input.remaining;
  const isKept = known !== undefined && until <= known &&
    until >= known - COLD_TIME_TOLERANCE;
  return isKept ? times : { ...rest, reportedUntil: until };
}

/** Records an event after which a target is cold as long as after its start. */
export function recordColdEvent(
  times: ColdTimes,
  event: { readonly reason: ColdReason; readonly from: MonotonicTime },
): ColdTimes {
  const isOlder = times.from !== undefined && event.from <= times.from;
  return isOlder ? times : { ...times, ...event };
}

/**
 * Records that no connection to a target was established. A refusal by its
 * machine shows at once that no process listens. Otherwise it counts only if
 * other targets have answered meanwhile, since a VM that is cut off reaches none.
 *
 * @param input.answeredAt When any target last answered this VM.
 */
export function recordUnreached(
  times: ColdTimes,
  input: {
    readonly isRefused: boolean;
    readonly answeredAt: MonotonicTime;
    readonly now: MonotonicTime;
  },
): ColdTimes {
  if (times.isUnreachable === true) return times;
  const { unreachedSince = input.now } = times;
  const isLost = input.now - unreachedSince >= UNREACHABLE_AFTER &&
    input.answeredAt > unreachedSince;
  const isUnreachable = input.isRefused || isLost;
  return { ...times, unreachedSince, isUnreachable };
}

/** Records an answer of a target, which may have been unreachable until now. */
export function recordAnswered(
  times: ColdTimes,
  now: MonotonicTime,
): ColdTimes {
  if (times.unreachedSince === undefined) return times;
  const { unreachedSince: _, isUnreachable, ...rest } = times;
  return isUnreachable === true
    ? recordColdEvent(rest, { reason: ColdReason.Returned, from: now })
    : rest;
}

/**
 * Returns for how long a target is cold; undefined if it is not.
 *
 * @param input.coldStart Time for which a target is cold after its start.
 */
export function findColdPeriod(
  times: ColdTimes,
  input: { readonly coldStart: Millis; readonly now: MonotonicTime },
): ColdPeriod | undefined {
  const { reportedUntil = -Infinity, from, reason, isUnreachable } = times;
  const { coldStart, now } = input;
  if (isUnreachable === true && coldStart > 0) {
    return { until: Infinity, reason: ColdReason.Unreachable };
  }
  const assumedUntil = (from ?? -Infinity) + coldStart;
  const period = reason === undefined || assumedUntil < reportedUntil
    ? { until: reportedUntil, reason: ColdReason.Reported }
    : { until: assumedUntil, reason };
  return period.until > now ? period : undefined;
}
