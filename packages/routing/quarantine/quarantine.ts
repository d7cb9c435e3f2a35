/**
 * Requests that crash the targets they run on, by body digest.
 *
 * A crash counts against every digest that was running at the target: firmly
 * against those that had brought no token yet, loosely against the others. A
 * digest with two crashes of different targets is quarantined: no VM sends it to
 * a target again until an operator releases it or the entry grows old. A loose
 * crash does not count once another digest has two firm ones of which it is one:
 * that digest explains it. A whole answer clears a suspect. When many targets
 * are lost within moments, that is a lost rack and not a request; each digest is
 * spared once, unless it ran at two of them.
 *
 * Entries travel between VMs with ages, not times, and merge in any order: the
 * higher release number wins, and at equal numbers the crashes are united.
 */
import {
  type BodyDigest,
  type Millis,
  MILLIS_PER_HOUR,
  MILLIS_PER_MINUTE,
  type MonotonicTime,
  type TargetId,
} from "../../core/mod.ts";

/** Crashed targets after which a digest is quarantined, over the whole fleet. */
export const CRASHES_TO_QUARANTINE = 2;

const SUSPECT_AGE: Millis = 10 * MILLIS_PER_MINUTE;
const QUARANTINE_AGE: Millis = 24 * MILLIS_PER_HOUR;
const RELEASE_AGE: Millis = 24 * MILLIS_PER_HOUR;

/** Crashes of so many targets within the window are a common failure. */
const COMMON_FAILURE_TARGETS = 3;
const COMMON_FAILURE_WINDOW: Millis = 2_000;

/** Crashes of one target within this time are one crash, seen by several VMs. */
const SAME_CRASH: Millis = 10_000;

const MOST_ENTRIES = 10_000;

/** One crash, as VMs pass it on. */
export interface CrashEntry {
  readonly target: TargetId;
  readonly age: Millis;
  /** Whether the request had brought no token when the target crashed. */
  readonly firm: boolean;
}

/** One digest's entry, as VMs pass it on and operators see it. */
export interface QuarantineEntry {
  readonly digest: BodyDigest;
  /** Rises by one with each release by an operator. */
  readonly release: number;
  readonly crashes: readonly CrashEntry[];
  readonly quarantined: boolean;
  /** Time since the entry last changed. */
  readonly age: Millis;
}

interface Crash {
  readonly at: MonotonicTime;
  readonly firm: boolean;
}

interface RunningDigest {
  count: number;
  begun: boolean;
}

interface Entry {
  readonly digest: BodyDigest;
  readonly release: number;
  readonly crashes: ReadonlyMap<TargetId, Crash>;
  readonly spared: boolean;
  readonly changedAt: MonotonicTime;
}

interface RecentCrash {
  readonly target: TargetId;
  readonly at: MonotonicTime;
  readonly digests: readonly BodyDigest[];
}

/** What a crash changed. */
export interface CrashResult {
  /** Digests whose entries peers must know before anyone tries them again. */
  readonly changed: readonly BodyDigest[];
  readonly quarantined: readonly BodyDigest[];
}

/** Suspects and quarantined digests known to one VM. */
export class Quarantine {
  readonly #entries = new Map<BodyDigest, Entry>();
  readonly #running = new Map<TargetId, Map<BodyDigest, RunningDigest>>();
  /** Crashes that a digest with two firm ones explains. */
  readonly #explained = new Map<TargetId, MonotonicTime>();
  #recentCrashes: RecentCrash[] = [];

  /** Returns whether a digest must not be sent to any target. */
  isQuarantined(digest: BodyDigest, now: MonotonicTime): boolean {
    const entry = this.#readEntry(digest, now);
    return entry !== undefined && this.#isProven(entry);
  }

  /**
   * Returns the targets that run other suspects. A suspect is kept away from
   * them, so that the next crash tells which of them it was.
   */
  listSuspectTargets(digest: BodyDigest, now: MonotonicTime): TargetId[] {
    if (!this.#isSuspect(digest, now)) return [];
    return [...this.#running]
      .filter(([, digests]) =>
        [...digests.keys()].some((other) =>
          other !== digest && this.#isSuspect(other, now)
        )
      )
      .map(([target]) => target);
  }

  /** Notes that a request runs at a target. */
  recordStart(digest: BodyDigest, target: TargetId): void {
    const digests = this.#running.get(target) ?? new Map();
    const running = digests.get(digest) ?? { count: 0, begun: false };
    running.count++;
    digests.set(digest, running);
    this.#running.set(target, digests);
  }

  /** Notes that a request's target has brought a first token of its answer. */
  recordProgress(digest: BodyDigest, target: TargetId): void {
    const running = this.#running.get(target)?.get(digest);
    if (running !== undefined) running.begun = true;
  }

  /** Notes that an attempt ended without a crash; a whole answer clears it. */
  recordEnd(
    digest: BodyDigest,
    options: { readonly target: TargetId; readonly complete: boolean },
  ): void {
    this.#dropRunning(digest, options.target);
    const entry = this.#entries.get(digest);
    if (!options.complete || entry === undefined) return;
    if (!this.#isProven(entry) && entry.release === 0) {
      this.#entries.delete(digest);
    }
  }

  /** Counts a crash of a target against what ran there; call it once a crash. */
  recordCrash(target: TargetId, now: MonotonicTime): CrashResult {
    const running = this.#running.get(target) ?? new Map();
    const digests = [...running.keys()];
    this.#running.delete(target);
    const others = this.#listRecent(target, now);
    this.#recentCrashes.push({ target, at: now, digests });
    for (const [digest, { begun }] of running) {
      const common = isCommonFailure(digest, others);
      this.#addCrash(digest, { target, common, firm: !begun, now });
    }
    const changed = digests.filter((digest) => this.#isSuspect(digest, now));
    const quarantined = digests
      .filter((digest) => this.isQuarantined(digest, now));
    return { changed, quarantined };
  }

  /** Releases a digest by an operator's word; peers follow. */
  release(digest: BodyDigest, now: MonotonicTime): void {
    const release = (this.#entries.get(digest)?.release ?? 0) + 1;
    this.#put({
      digest,
      release,
      crashes: new Map(),
      spared: false,
      changedAt: now,
    });
  }

  /** Returns the entries that changed after a time, for peers and operators. */
  listEntries(
    options: { readonly now: MonotonicTime; readonly since?: MonotonicTime },
  ): QuarantineEntry[] {
    const since = options.since ?? -Infinity;
    return [...this.#entries.values()]
      .filter((entry) => entry.changedAt > since)
      .filter((entry) => !isOld(entry, options.now))
      .map((entry) => this.#describe(entry, options.now));
  }

  /** Folds in a peer's entries; returns the digests whose entries changed. */
  applyEntries(
    words: readonly QuarantineEntry[],
    now: MonotonicTime,
  ): BodyDigest[] {
    return words.filter((word) => this.#applyEntry(word, now))
      .map((word) => word.digest);
  }

  /** Forgets entries that are too old. */
  expire(now: MonotonicTime): void {
    for (const entry of [...this.#entries.values()]) {
      if (isOld(entry, now)) this.#entries.delete(entry.digest);
    }
  }

  #applyEntry(word: QuarantineEntry, now: MonotonicTime): boolean {
    const known = this.#readEntry(word.digest, now);
    if (known !== undefined && known.release > word.release) return false;
    const crashes = new Map(
      word.crashes.map(({ target, age, firm }) =>
        [target, { at: now - age, firm }] as const
      ),
    );
    if (known?.release === word.release) {
      const before = known.crashes.size;
      for (const [target, crash] of known.crashes) crashes.set(target, crash);
      if (crashes.size === before) return false;
    }
    this.#put({
      digest: word.digest,
      release: word.release,
      crashes,
      spared: known?.spared ?? false,
      changedAt: now,
    });
    return true;
  }

  #addCrash(
    digest: BodyDigest,
    crash: {
      readonly target: TargetId;
      readonly common: boolean;
      readonly firm: boolean;
      readonly now: MonotonicTime;
    },
  ): void {
    const { target, common, firm, now } = crash;
    const known = this.#readEntry(digest, now) ?? createEntry(digest, now);
    const spared = common && !known.spared;
    const crashes = spared
      ? known.crashes
      : new Map([...known.crashes, [target, { at: now, firm }] as const]);
    this.#put({
      ...known,
      crashes,
      spared: known.spared || spared,
      changedAt: now,
    });
  }

  /** Returns the crashes of other targets within the window. */
  #listRecent(target: TargetId, now: MonotonicTime): readonly RecentCrash[] {
    this.#recentCrashes = this.#recentCrashes
      .filter((crash) => now - crash.at < COMMON_FAILURE_WINDOW);
    return this.#recentCrashes.filter((crash) => crash.target !== target);
  }

  #isSuspect(digest: BodyDigest, now: MonotonicTime): boolean {
    return (this.#readEntry(digest, now)?.crashes.size ?? 0) > 0;
  }

  #readEntry(digest: BodyDigest, now: MonotonicTime): Entry | undefined {
    const entry = this.#entries.get(digest);
    return entry === undefined || isOld(entry, now) ? undefined : entry;
  }

  #dropRunning(digest: BodyDigest, target: TargetId): void {
    const digests = this.#running.get(target);
    const running = digests?.get(digest);
    if (digests === undefined || running === undefined) return;
    running.count--;
    if (running.count === 0) digests.delete(digest);
    if (digests.size === 0) this.#running.delete(target);
  }

  /** Returns whether the crashes that nothing else explains are enough. */
  #isProven(entry: Entry): boolean {
    const counted = [...entry.crashes]
      .filter(([target, crash]) =>
        crash.firm || !this.#isExplained(target, crash)
      );
    return counted.length >= CRASHES_TO_QUARANTINE;
  }

  #isExplained(target: TargetId, crash: Crash): boolean {
    const at = this.#explained.get(target);
    return at !== undefined && Math.abs(at - crash.at) <= SAME_CRASH;
  }

  #put(entry: Entry): void {
    this.#entries.delete(entry.digest);
    this.#entries.set(entry.digest, entry);
    this.#recordExplained(entry);
    if (this.#entries.size > MOST_ENTRIES) this.#dropOne();
  }

  #recordExplained(entry: Entry): void {
    const firm = [...entry.crashes].filter(([, crash]) => crash.firm);
    if (firm.length < CRASHES_TO_QUARANTINE) return;
    for (const [target, crash] of firm) this.#explained.set(target, crash.at);
  }

  /** Makes room: the oldest mere suspect goes first. */
  #dropOne(): void {
    for (const entry of this.#entries.values()) {
      if (entry.crashes.size >= CRASHES_TO_QUARANTINE) continue;
      this.#entries.delete(entry.digest);
      return;
    }
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  #describe(entry: Entry, now: MonotonicTime): QuarantineEntry {
    return {
      digest: entry.digest,
      release: entry.release,
      crashes: [...entry.crashes].map(([target, { at, firm }]) => ({
        target,
        age: now - at,
        firm,
      })),
      quarantined: this.#isProven(entry),
      age: now - entry.changedAt,
    };
  }
}

/** A digest that ran at another lost target may itself be the common cause. */
function isCommonFailure(
  digest: BodyDigest,
  others: readonly RecentCrash[],
): boolean {
  if (others.some((crash) => crash.digests.includes(digest))) return false;
  const targets = new Set(others.map((crash) => crash.target));
  return targets.size + 1 >= COMMON_FAILURE_TARGETS;
}

function createEntry(digest: BodyDigest, now: MonotonicTime): Entry {
  return {
    digest,
    release: 0,
    crashes: new Map(),
    spared: false,
    changedAt: now,
  };
}

function isOld(entry: Entry, now: MonotonicTime): boolean {
  const age = now - entry.changedAt;
  if (entry.crashes.size >= CRASHES_TO_QUARANTINE) return age > QUARANTINE_AGE;
  return age > (entry.release > 0 ? RELEASE_AGE : SUSPECT_AGE);
}
