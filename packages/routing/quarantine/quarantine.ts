/**
 * Quarantine of requests that crash the targets they run on. Requests are
 * identified by the digest of their body.
 *
 * A crash counts against every digest that was running at the target. It is firm
 * for a digest whose answer had no token yet, and weak for the others. A digest
 * with crashes of two different targets is quarantined: no VM sends it to a
 * target until an operator releases it or its entry expires. A weak crash does
 * not count if another digest has two firm crashes and this crash is one of
 * them, because that digest explains it.
 *
 * A digest with any crash is a suspect; a complete answer clears it unless it is
 * quarantined or was released before. When several targets crash at about the
 * same time, the cause is assumed to be a common failure, such as that of a
 * rack, and not a request. Such a crash is not counted, at most once for each
 * digest, unless the digest ran at two of these targets.
 *
 * VMs exchange entries with ages instead of times and can merge them in any
 * order: the higher release number wins, and for equal numbers the result has
 * the crashes of both entries.
 */
import {
  type BodyDigest,
  type Millis,
  MILLIS_PER_HOUR,
  MILLIS_PER_MINUTE,
  type MonotonicTime,
  type TargetId,
} from "../../core/mod.ts";

/** Crashed targets in the whole fleet after which a digest is quarantined. */
export const CRASHES_TO_QUARANTINE = 2;

/** Times since their last change after which entries expire. */
const SUSPECT_TTL: Millis = 10 * MILLIS_PER_MINUTE;
const QUARANTINE_TTL: Millis = 24 * MILLIS_PER_HOUR;
const RELEASE_TTL: Millis = 24 * MILLIS_PER_HOUR;

/** Crashes of this many targets within the window are a common failure. */
const COMMON_FAILURE_TARGETS = 3;
const COMMON_FAILURE_WINDOW: Millis = 2_000;

/**
 * Crashes of one target within this time are the same crash, which several VMs
 * observed.
 */
const SAME_CRASH_WINDOW: Millis = 10_000;

const MAX_ENTRIES = 10_000;

/** One crash of an entry, as exchanged between VMs. */
export interface CrashEntry {
  readonly target: TargetId;
  /** Time since the crash. */
  readonly age: Millis;
  /** Whether the answer had no token yet when the target crashed. */
  readonly firm: boolean;
}

/** One digest's entry, as exchanged between VMs and shown to operators. */
export interface QuarantineEntry {
  readonly digest: BodyDigest;
  /** Increases by one with each release by an operator. */
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

/** Open attempts with one digest at one target. */
interface RunningDigest {
  count: number;
  /** Whether the target has returned a first token. */
  begun: boolean;
}

interface Entry {
  readonly digest: BodyDigest;
  readonly release: number;
  readonly crashes: ReadonlyMap<TargetId, Crash>;
  /** Whether a crash was already left uncounted as a common failure. */
  readonly spared: boolean;
  readonly changedAt: MonotonicTime;
}

interface RecentCrash {
  readonly target: TargetId;
  readonly at: MonotonicTime;
  readonly digests: readonly BodyDigest[];
}

/** The digests that a crash affected. */
export interface CrashResult {
  /** Suspects, whose entries peers must receive before a VM retries them. */
  readonly changed: readonly BodyDigest[];
  /** Digests that are quarantined after the crash. */
  readonly quarantined: readonly BodyDigest[];
}

/** Suspects and quarantined digests known to one VM. */
export class Quarantine {
  readonly #entries = new Map<BodyDigest, Entry>();
  readonly #running = new Map<TargetId, Map<BodyDigest, RunningDigest>>();
  /** Firm crashes of digests with at least two, which explain weak crashes. */
  readonly #explained = new Map<TargetId, MonotonicTime>();
  #recentCrashes: RecentCrash[] = [];

  /** Returns whether a digest must not be sent to any target. */
  isQuarantined(digest: BodyDigest, now: MonotonicTime): boolean {
    const entry = this.#readEntry(digest, now);
    return entry !== undefined && this.#hasReachedThreshold(entry);
  }

  /**
   * Returns the targets that run other suspects, if the digest is a suspect. It
   * is not sent to these targets, so that the next crash shows which suspect
   * causes the crashes.
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

  /** Records that an attempt started at a target. */
  recordStart(digest: BodyDigest, target: TargetId): void {
    const digests = this.#running.get(target) ?? new Map();
    const running = digests.get(digest) ?? { count: 0, begun: false };
    running.count++;
    digests.set(digest, running);
    this.#running.set(target, digests);
  }

  /** Records that a target returned the first token of an answer. */
  recordProgress(digest: BodyDigest, target: TargetId): void {
    const running = this.#running.get(target)?.get(digest);
    if (running !== undefined) running.begun = true;
  }

  /**
   * Records that an attempt ended without a crash. A complete answer clears a
   * suspect that is neither quarantined nor was released before.
   */
  recordEnd(
    digest: BodyDigest,
    options: { readonly target: TargetId; readonly complete: boolean },
  ): void {
    this.#removeRunning(digest, options.target);
    const entry = this.#entries.get(digest);
    if (!options.complete || entry === undefined) return;
    if (!this.#hasReachedThreshold(entry) && entry.release === 0) {
      this.#entries.delete(digest);
    }
  }

  /**
   * Counts a crash of a target against the digests that were running there. Must
   * be called once for each crash.
   */
  recordCrash(target: TargetId, now: MonotonicTime): CrashResult {
    const running = this.#running.get(target) ?? new Map();
    const digests = [...running.keys()];
    this.#running.delete(target);
    const recent = this.#listRecentCrashes(target, now);
    this.#recentCrashes.push({ target, at: now, digests });
    for (const [digest, { begun }] of running) {
      const common = isCommonFailure(digest, recent);
      this.#addCrash(digest, { target, common, firm: !begun, now });
    }
    const changed = digests.filter((digest) => this.#isSuspect(digest, now));
    const quarantined = digests
      .filter((digest) => this.isQuarantined(digest, now));
    return { changed, quarantined };
  }

  /**
   * Releases a digest on behalf of an operator; peers apply the release when
   * they receive the entry.
   */
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

  /**
   * Returns the entries that changed after `since`, or all, for peers and
   * operators. The least recently changed entry comes first.
   */
  listEntries(
    options: { readonly now: MonotonicTime; readonly since?: MonotonicTime },
  ): QuarantineEntry[] {
    const since = options.since ?? -Infinity;
    return [...this.#entries.values()]
      .filter((entry) => entry.changedAt > since)
      .filter((entry) => !isExpired(entry, options.now))
      .map((entry) => this.#describe(entry, options.now));
  }

  /** Merges a peer's entries; returns the digests whose entries changed. */
  applyEntries(
    entries: readonly QuarantineEntry[],
    now: MonotonicTime,
  ): BodyDigest[] {
    return entries.filter((received) => this.#applyEntry(received, now))
      .map((received) => received.digest);
  }

  /** Removes expired entries. */
  expire(now: MonotonicTime): void {
    for (const entry of [...this.#entries.values()]) {
      if (isExpired(entry, now)) this.#entries.delete(entry.digest);
    }
  }

  #applyEntry(received: QuarantineEntry, now: MonotonicTime): boolean {
    const known = this.#readEntry(received.digest, now);
    if (known !== undefined && known.release > received.release) return false;
    const crashes = new Map(
      received.crashes.map(({ target, age, firm }) =>
        [target, { at: now - age, firm }] as const
      ),
    );
    if (known?.release === received.release) {
      const before = known.crashes.size;
      for (const [target, crash] of known.crashes) crashes.set(target, crash);
      if (crashes.size === before) return false;
    }
    this.#put({
      digest: received.digest,
      release: received.release,
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

  /** Returns the crashes of other targets within the common failure window. */
  #listRecentCrashes(
    target: TargetId,
    now: MonotonicTime,
  ): readonly RecentCrash[] {
    this.#recentCrashes = this.#recentCrashes
      .filter((crash) => now - crash.at < COMMON_FAILURE_WINDOW);
    return this.#recentCrashes.filter((crash) => crash.target !== target);
  }

  #isSuspect(digest: BodyDigest, now: MonotonicTime): boolean {
    return (this.#readEntry(digest, now)?.crashes.size ?? 0) > 0;
  }

  #readEntry(digest: BodyDigest, now: MonotonicTime): Entry | undefined {
    const entry = this.#entries.get(digest);
    return entry === undefined || isExpired(entry, now) ? undefined : entry;
  }

  #removeRunning(digest: BodyDigest, target: TargetId): void {
    const digests = this.#running.get(target);
    const running = digests?.get(digest);
    if (digests === undefined || running === undefined) return;
    running.count--;
    if (running.count === 0) digests.delete(digest);
    if (digests.size === 0) this.#running.delete(target);
  }

  /**
   * Returns whether the firm crashes, and the weak ones that no other digest
   * explains, are enough for quarantine.
   */
  #hasReachedThreshold(entry: Entry): boolean {
    const counted = [...entry.crashes]
      .filter(([target, crash]) =>
        crash.firm || !this.#isExplained(target, crash)
      );
    return counted.length >= CRASHES_TO_QUARANTINE;
  }

  #isExplained(target: TargetId, crash: Crash): boolean {
    const at = this.#explained.get(target);
    return at !== undefined && Math.abs(at - crash.at) <= SAME_CRASH_WINDOW;
  }

  #put(entry: Entry): void {
    this.#entries.delete(entry.digest);
    this.#entries.set(entry.digest, entry);
    this.#recordExplained(entry);
    if (this.#entries.size > MAX_ENTRIES) this.#evictOne();
  }

  #recordExplained(entry: Entry): void {
    const firm = [...entry.crashes].filter(([, crash]) => crash.firm);
    if (firm.length < CRASHES_TO_QUARANTINE) return;
    for (const [target, crash] of firm) this.#explained.set(target, crash.at);
  }

  /**
   * Evicts one entry: the least recently changed one with too few crashes for
   * quarantine, or, if there is none, the least recently changed of all.
   */
  #evictOne(): void {
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
      quarantined: this.#hasReachedThreshold(entry),
      age: now - entry.changedAt,
    };
  }
}

/**
 * Returns whether a crash of a digest is part of a common failure. It is not if
 * the digest also ran at another crashed target, since it may be the cause.
 */
function isCommonFailure(
  digest: BodyDigest,
  recent: readonly RecentCrash[],
): boolean {
  if (recent.some((crash) => crash.digests.includes(digest))) return false;
  const targets = new Set(recent.map((crash) => crash.target));
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

function isExpired(entry: Entry, now: MonotonicTime): boolean {
  const age = now - entry.changedAt;
  if (entry.crashes.size >= CRASHES_TO_QUARANTINE) return age > QUARANTINE_TTL;
  return age > (entry.release > 0 ? RELEASE_TTL : SUSPECT_TTL);
}
