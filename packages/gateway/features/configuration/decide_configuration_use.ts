/**
 * Decides what a configuration may be used for, by all that a VM knows of its
 * currency. It is the only place that does, whatever made the configuration late.
 *
 * A VM may run requests by a configuration that is older than the deadline only
 * while it can't learn of newer ones. One that the store answers can, and has to
 * take its configuration for replaced; so does one that has heard of a newer
 * one. To refuse everything without the store would end the service with it.
 */
import type { Millis, MonotonicTime } from "../../../core/mod.ts";

/** What a configuration may be used for. */
export enum ConfigurationUse {
  /** It is the newest, or newer ones need not be in use yet. */
  Current = "current",
  /**
   * Newer ones may exist: known routes and keys are served, and nothing is
   * refused as unknown.
   */
  Stale = "stale",
  /** Newer ones could be had: requests are left to other VMs. */
  Outdated = "outdated",
}

/** What a VM knows of the configurations that a restored store may have lost. */
export enum RestoreState {
  /** The store wasn't restored, or other VMs had no newer one. */
  Compared = "compared",
  /** Other VMs may have a newer one. */
  Pending = "pending",
  /** The same, and this VM has had no other configuration since its start. */
  FirstPending = "first-pending",
}

/** A run of answers of the store, to calls of any kind. */
export interface StoreContact {
  /** When the first of them was received. */
  readonly since: MonotonicTime;
  /** When the last of them was received. */
  readonly until: MonotonicTime;
}

/**
 * Fraction of the deadline without an answer after which contact with the store
 * has ended. Calls that wait for changes are answered more often.
 */
const SILENCE_SHARE = 0.6;

/**
 * Fraction of the deadline for which the store has to have answered until it can
 * be relied on for newer configurations. After an outage the newest one is to be
 * in use within the deadline, and a VM may notice late that the outage is over.
 */
const CONTACT_SHARE = 0.75;

/**
 * Returns the contact with the store once its last answer is known.
 *
 * @param known The contact so far; undefined before the first answer.
 * @param input.answeredAt When the last answer was received.
 */
export function recordAnswer(
  known: StoreContact | undefined,
  input: { readonly answeredAt: MonotonicTime; readonly deadline: Millis },
): StoreContact {
  const { answeredAt, deadline } = input;
  const isContinued = known !== undefined &&
    answeredAt - known.until <= SILENCE_SHARE * deadline;
  return { since: isContinued ? known.since : answeredAt, until: answeredAt };
}

/** What is known of a configuration's currency. */
export interface ConfigurationEvidence {
  readonly now: MonotonicTime;
  /** Time up to which all versions are known; -Infinity before the first. */
  readonly currentUntil: MonotonicTime;
  /** Time within which a version has to be in use everywhere. */
  readonly deadline: Millis;
  /** Undefined before the store's first answer. */
  readonly contact: StoreContact | undefined;
  /** Whether another VM has said that it uses a newer one. */
  readonly isNewerKnown: boolean;
  /** Whether this VM knows a newer one that it can't decode. */
  readonly isDamaged: boolean;
  readonly restore: RestoreState;
}

/** Returns what a configuration may be used for. */
export function decideConfigurationUse(
  evidence: ConfigurationEvidence,
): ConfigurationUse {
  const { now, currentUntil, deadline, isDamaged, restore } = evidence;
  const isLate = now - currentUntil > deadline;
  if (restore === RestoreState.FirstPending) return ConfigurationUse.Outdated;
  if ((isLate || isDamaged) && evidence.isNewerKnown) {
    return ConfigurationUse.Outdated;
  }
  if (isLate && isInContact(evidence)) return ConfigurationUse.Outdated;
  return isLate || isDamaged || restore === RestoreState.Pending
    ? ConfigurationUse.Stale
    : ConfigurationUse.Current;
}

/** Whether the store answers, and has for long enough to rely on it. */
export function isInContact(
  { now, contact, deadline }: Pick<
    ConfigurationEvidence,
    "now" | "contact" | "deadline"
  >,
): boolean {
  return contact !== undefined &&
    now - contact.until <= SILENCE_SHARE * deadline &&
    now - contact.since > CONTACT_SHARE * deadline;
}
