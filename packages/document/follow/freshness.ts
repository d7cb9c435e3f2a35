/**
 * Tracks how recently a VM's document was confirmed to be the newest version.
 *
 * Only the store can confirm this. A peer reports the age of its latest
 * confirmation by the store, so two VMs that are both partitioned from the
 * store cannot confirm each other. Messages carry ages instead of times, so
 * clocks need not be synchronized. An age is counted back from the time at
 * which the request was sent, so network delay can only make a confirmation
 * look older, never newer.
 */
import {
  type Millis,
  type MonotonicTime,
  StalePolicy,
} from "../../core/mod.ts";

/**
 * Latest time at which this VM's document is known to have been the newest
 * version.
 */
export interface Freshness {
  /** Undefined when it was not confirmed since the process started. */
  readonly confirmedAt: MonotonicTime | undefined;
}

/** A peer's report of its document version and freshness. */
export interface FreshnessReport {
  readonly version: number;
  /**
   * Time since the store's latest confirmation; undefined when there was none.
   */
  readonly confirmedAge: Millis | undefined;
}

/** Classification of a VM's freshness. */
export enum FreshnessState {
  /** Confirmed within the staleness limit that the document sets. */
  Confirmed = "confirmed",
  /** Confirmed since the start, but longer ago than the staleness limit. */
  Stale = "stale",
  /** Not confirmed since the start: the VM may have an outdated version. */
  Unconfirmed = "unconfirmed",
}

/** Returns the freshness of a VM at its start. */
export function createFreshness(): Freshness {
  return { confirmedAt: undefined };
}

/**
 * Records that the VM has the version that the store returned for a request sent
 * at the given time.
 */
export function recordStoreAnswer(
  freshness: Freshness,
  askedAt: MonotonicTime,
): Freshness {
  return keepLatest(freshness, askedAt);
}

/** Applies a peer's report; a report about another version is ignored. */
export function recordFreshnessReport(
  freshness: Freshness,
  input: {
    readonly report: FreshnessReport;
    readonly ownVersion: number;
    readonly askedAt: MonotonicTime;
  },
): Freshness {
  const { version, confirmedAge } = input.report;
  if (version !== input.ownVersion || confirmedAge === undefined) {
    return freshness;
  }
  const age = Math.max(0, confirmedAge);
  return keepLatest(freshness, input.askedAt - age);
}

/** Returns the report that this VM sends to its peers. */
export function createFreshnessReport(
  freshness: Freshness,
  input: { readonly version: number; readonly now: MonotonicTime },
): FreshnessReport {
  const { confirmedAt } = freshness;
  const age = confirmedAt === undefined ? undefined : input.now - confirmedAt;
  return { version: input.version, confirmedAge: age };
}

/** Classifies a VM's freshness at a time. */
export function computeFreshnessState(
  freshness: Freshness,
  input: { readonly now: MonotonicTime; readonly staleAfter: Millis },
): FreshnessState {
  const { confirmedAt } = freshness;
  if (confirmedAt === undefined) return FreshnessState.Unconfirmed;
  const age = input.now - confirmedAt;
  return age <= input.staleAfter
    ? FreshnessState.Confirmed
    : FreshnessState.Stale;
}

/**
 * Returns whether requests of a kind with this policy are refused at this
 * freshness.
 */
export function isRefusedAsStale(
  state: FreshnessState,
  policy: StalePolicy,
): boolean {
  return policy === StalePolicy.Refuse && state !== FreshnessState.Confirmed;
}

function keepLatest(freshness: Freshness, at: MonotonicTime): Freshness {
  const known = freshness.confirmedAt ?? Number.NEGATIVE_INFINITY;
  return at > known ? { confirmedAt: at } : freshness;
}
