/**
 * Which releases of a service's software may have begun a stream that is still
 * of use to its caller. Two releases write streams that don't fit together, so
 * that a stream whose release is not recorded anywhere goes on only if there
 * was no more than one.
 */
import type {
  Millis,
  MonotonicTime,
  ReleaseId,
  ServiceId,
} from "../../core/mod.ts";

/** Releases that one VM has seen in a period that ends now. */
export interface SeenReleases {
  readonly releases: readonly ReleaseId[];
  /** Whether it can't have missed any. */
  readonly isComplete: boolean;
}

/** A release that targets of a service are listed with. */
export interface ListedRelease {
  readonly service: ServiceId;
  readonly release: ReleaseId;
}

/**
 * Maximum age of a list of targets that shows all releases. It covers the usual
 * delay of the list, but not a lost connection to the store.
 */
export const MAX_LIST_AGE: Millis = 3_000;

/** Remembers when each release of each service was last listed. */
export class ReleaseHistory {
  readonly #lastSeen = new Map<ServiceId, Map<ReleaseId, MonotonicTime>>();
  #startedAt: MonotonicTime | undefined;

  /** Records the releases that are listed at a time. */
  recordListed(listed: Iterable<ListedRelease>, now: MonotonicTime): void {
    this.#startedAt ??= now;
    for (const { service, release } of listed) {
      const known = this.#lastSeen.get(service) ?? new Map();
      this.#lastSeen.set(service, known);
      known.set(release, now);
    }
  }

  /** Returns the releases of a service that were listed in the last `period`. */
  listSeen(
    service: ServiceId,
    input: {
      readonly now: MonotonicTime;
      readonly period: Millis;
      /** Time up to which all changes of the list are known. */
      readonly currentUntil: MonotonicTime | undefined;
    },
  ): SeenReleases {
    const { now, period, currentUntil } = input;
    const from = now - period;
    const releases = [...this.#lastSeen.get(service) ?? []]
      .filter(([, lastSeen]) => lastSeen >= from)
      .map(([release]) => release);
    const isCurrent = currentUntil !== undefined &&
      now - currentUntil <= MAX_LIST_AGE;
    const isComplete = isCurrent && this.#startedAt !== undefined &&
      this.#startedAt <= from;
    return { releases, isComplete };
  }
}

/**
 * Returns the only release that can have begun a stream, by what several VMs
 * have seen; undefined if there were others or may have been.
 */
export function findOnlyRelease(
  seen: readonly SeenReleases[],
): ReleaseId | undefined {
  if (!seen.some((each) => each.isComplete)) return undefined;
  const releases = new Set(seen.flatMap((each) => each.releases));
  return releases.size === 1 ? [...releases][0] : undefined;
}
