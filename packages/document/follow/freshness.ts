/**
 * How sure a VM is that no newer document is in force elsewhere.
 *
 * Only the table can say that there is nothing newer. A peer passes on how long
 * ago it heard so from the table; two VMs that are cut off together cannot
 * confirm each other. Ages travel, not times, so clocks need not agree, and an
 * age is counted from when the question was asked, so delay makes a VM less
 * sure and never more.
 */
import {
  type Millis,
  type MonotonicTime,
  StalePolicy,
} from "../../core/mod.ts";

/** When it was last true, for all this VM knows, that it had the newest. */
export interface Freshness {
  /** Undefined when nothing confirmed it since this life began. */
  readonly confirmedAt: MonotonicTime | undefined;
}

/** What a peer says of its document. */
export interface FreshnessReport {
  readonly version: number;
  /** Time since the table confirmed it to the peer; undefined if it never did. */
  readonly confirmedAge: Millis | undefined;
}

/** How sure a VM is. */
export enum FreshnessState {
  /** Confirmed within the time that the document sets. */
  Confirmed = "confirmed",
  /** Confirmed before, but too long ago. */
  Stale = "stale",
  /** Not confirmed since the start: an older version may be in force. */
  Unconfirmed = "unconfirmed",
}

/** Returns the freshness of a VM that starts. */
export function createFreshness(): Freshness {
  return { confirmedAt: undefined };
}

/** Records that the table was asked and the VM has what it answered. */
export function recordStoreAnswer(
  freshness: Freshness,
  askedAt: MonotonicTime,
): Freshness {
  return takeLater(freshness, askedAt);
}

/** Records what a peer answered; only a peer with the same version counts. */
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
  return takeLater(freshness, input.askedAt - age);
}

/** Returns what this VM tells its peers. */
export function createFreshnessReport(
  freshness: Freshness,
  input: { readonly version: number; readonly now: MonotonicTime },
): FreshnessReport {
  const { confirmedAt } = freshness;
  const age = confirmedAt === undefined ? undefined : input.now - confirmedAt;
  return { version: input.version, confirmedAge: age };
}

/** Returns how sure a VM is at a time. */
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

/** Says whether a kind with this policy is refused for want of freshness. */
export function isRefusedAsStale(
  state: FreshnessState,
  policy: StalePolicy,
): boolean {
  return policy === StalePolicy.Refuse && state !== FreshnessState.Confirmed;
}

function takeLater(freshness: Freshness, at: MonotonicTime): Freshness {
  const known = freshness.confirmedAt ?? Number.NEGATIVE_INFINITY;
  return at > known ? { confirmedAt: at } : freshness;
}
