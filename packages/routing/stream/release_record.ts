/**
 * The record of the releases that served a service, which all VMs keep in one
 * row. A VM that has just started knows from it which releases can have begun a
 * stream, although no VM remembers the stream itself.
 */
import type { Millis, ReleaseId, StoreTime } from "../../core/mod.ts";
import type { SeenReleases } from "./release_history.ts";

/** One release, and when it was found to be gone; absent while it serves. */
export interface RecordedRelease {
  readonly release: ReleaseId;
  readonly goneAt?: StoreTime;
}

/** Releases that served a service, all of them since a time. */
export interface ReleaseRecord {
  readonly since: StoreTime;
  readonly releases: readonly RecordedRelease[];
}

/** What one VM sees of a service's releases. */
export interface ReleaseSight {
  /** Releases that are listed now. */
  readonly listed: readonly ReleaseId[];
  /** Whether a release has not been listed for a while. */
  readonly isGone: (release: ReleaseId) => boolean;
}

/** Time for which a release that is gone stays in the record. */
const GONE_TERM: Millis = 600_000;

/**
 * Returns the record with what a VM sees added; undefined if it changes nothing.
 * Without a known record a new one begins now.
 */
export function planReleaseRecord(
  known: ReleaseRecord | undefined,
  input: ReleaseSight & { readonly now: StoreTime },
): ReleaseRecord | undefined {
  const { listed, isGone, now } = input;
  if (known === undefined) {
    if (listed.length === 0) return undefined;
    return { since: now, releases: listed.map((release) => ({ release })) };
  }
  const serving = known.releases.filter(({ goneAt }) => goneAt === undefined);
  const added = listed.filter((release) =>
    !serving.some((each) => each.release === release)
  );
  const gone = serving.map(({ release }) => release)
    .filter((release) => !listed.includes(release) && isGone(release));
  if (added.length === 0 && gone.length === 0) return undefined;
  const kept = known.releases
    .filter(({ release }) => !added.includes(release))
    .filter(({ goneAt }) => goneAt === undefined || now - goneAt < GONE_TERM)
    .map((each) =>
      gone.includes(each.release) ? { ...each, goneAt: now } : each
    );
  return {
    since: known.since,
    releases: [...kept, ...added.map((release) => ({ release }))],
  };
}

/** Returns the releases that can have served in a period that ends now. */
export function listRecordedReleases(
  record: ReleaseRecord | undefined,
  input: { readonly now: StoreTime; readonly period: Millis },
): SeenReleases {
  const from = input.now - input.period;
  const releases = (record?.releases ?? [])
    .filter(({ goneAt }) => goneAt === undefined || goneAt >= from)
    .map(({ release }) => release);
  return {
    releases,
    isComplete: record !== undefined && record.since <= from,
  };
}
