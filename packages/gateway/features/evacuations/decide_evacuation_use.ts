/**
 * Decides whether requests may be sent to targets, by how old the last reading of
 * the evacuations is. It is the only place that does.
 *
 * A VM that can't reach the store serves by the last reading. One that can, and
 * still has no newer reading, may lack an evacuation that the operator counts on.
 */
import type { Millis, MonotonicTime } from "../../../core/mod.ts";
import {
  isInContact,
  type StoreContact,
} from "../configuration/decide_configuration_use.ts";

/** What the last reading of the evacuations may be used for. */
export enum EvacuationUse {
  /** It shows what has to be in effect by now. */
  Current = "current",
  /** It is older, and the store can't be reached: it stays in effect. */
  LastKnown = "last-known",
  /** A newer one is needed before anything is sent to a target. */
  Outdated = "outdated",
}

/**
 * Additional age of a reading while the store answers from a copy that lags.
 * While the store is impaired, evacuations may take up to 8 s longer.
 */
const MAX_LAG: Millis = 6_000;

/**
 * Time for which a failed reading shows that the store can't be reached, beyond
 * the bound: the longest time that one takes to fail. After a longer gap this
 * process itself may have been stopped.
 */
const MAX_READING_TIME: Millis = 6_000;

/**
 * Minimum time by which contact with the store is measured. A VM's calls are that
 * far apart, however short the bound is.
 */
const MIN_CONTACT_DEADLINE: Millis = 3_000;

/** Returns the time by which contact with the store is measured. */
export function computeContactDeadline(bound: Millis): Millis {
  return Math.max(bound, MIN_CONTACT_DEADLINE);
}

/** What is known of the readings of the evacuations. */
export interface EvacuationEvidence {
  readonly now: MonotonicTime;
  /** Time within which an evacuation must be in effect. */
  readonly bound: Millis;
  /** Whether this process has had a reading. */
  readonly isRead: boolean;
  /** Time up to which the last reading shows all evacuations. */
  readonly currentUntil: MonotonicTime;
  /** When the last reading that the store answered was begun. */
  readonly answeredAt: MonotonicTime;
  /** When a reading last failed; -Infinity if none has. */
  readonly failedAt: MonotonicTime;
  /**
   * Contact with the store by any call, measured by
   * {@link computeContactDeadline}; undefined before its first answer.
   */
  readonly contact: StoreContact | undefined;
}

/** Returns what the last reading may be used for. */
export function decideEvacuationUse(
  evidence: EvacuationEvidence,
): EvacuationUse {
  const { now, bound, currentUntil, answeredAt, failedAt, contact } = evidence;
  if (!evidence.isRead) return EvacuationUse.Outdated;
  const isAnswered = now - answeredAt <= bound;
  const maxAge = isAnswered ? bound + MAX_LAG : bound;
  if (now - currentUntil <= maxAge) return EvacuationUse.Current;
  const isFailing = failedAt > answeredAt &&
    now - failedAt <= bound + MAX_READING_TIME;
  return isAnswered || !isFailing ||
      isInContact({ now, contact, deadline: computeContactDeadline(bound) })
    ? EvacuationUse.Outdated
    : EvacuationUse.LastKnown;
}
