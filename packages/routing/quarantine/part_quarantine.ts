/**
 * Quarantine of prompt parts that crash each target that begins to answer a
 * request with them, whatever else the request holds. A whole request is one
 * more part, with a key of its own.
 *
 * Each VM reports the crashes that it observed with the parts of the requests
 * that had no event yet, and the parts under suspicion with which an answer has
 * begun at it (a proof that the part is harmless). Reports only add evidence,
 * so they can be merged in any order and more than once. All times are by one
 * clock that the VMs share.
 *
 * A part with crashes of three target incarnations and no proof is a candidate.
 * A candidate whose crashes are all crashes of another candidate that has more
 * is explained by it. Candidates with the same crashes can't be told apart: a
 * request is refused if it holds all of them, so that requests with only some
 * go on and show which one is harmless.
 */
import { LRUCache } from "lru-cache";
import {
  type Millis,
  MILLIS_PER_MINUTE,
  type StoreTime,
  type TargetId,
} from "../../core/mod.ts";

/** Crashed target incarnations in the fleet after which a part is refused. */
export const CRASHES_TO_REFUSE_PART = 3;

/** Time for which a crash counts, and so the time of a quarantine. */
const CRASH_TTL: Millis = 5 * MILLIS_PER_MINUTE;

/**
 * Time for which an answer that began proves the parts of its prompt harmless.
 * After a change at the targets, a part that was harmless may crash them.
 */
const PROOF_TTL: Millis = MILLIS_PER_MINUTE;

/** Beginning of the key of a whole request; ids of parts have no colon. */
const REQUEST_KEY_PREFIX = "request:";

/** Maximum number of parts remembered with the time of the last answer. */
const MAX_BEGUN_PARTS = 20_000;

/** Maximum number of proofs of other VMs. */
const MAX_PROOFS = 5_000;

/** Maximum number of crashes, of all VMs. */
const MAX_CRASHES = 200;

/** Maximum number of parts of one crash, of all VMs. */
const MAX_CRASH_PARTS = 100;

/** Bounds of the report of one VM. */
export const MAX_REPORTED_CRASHES = 12;
export const MAX_REPORTED_PARTS = 32;
export const MAX_REPORTED_PROOFS = 64;

/** One crash of a target and the parts that may have caused it. */
export interface CrashReport {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly at: StoreTime;
  readonly parts: readonly string[];
}

/** An answer to a request with the part began. */
export interface PartProof {
  readonly part: string;
  readonly at: StoreTime;
}

/** The evidence of one VM. */
export interface EvidenceReport {
  readonly crashes: readonly CrashReport[];
  readonly proofs: readonly PartProof[];
}

/** Parts that can't be told apart; requests that hold all are refused. */
export interface QuarantinedParts {
  readonly parts: readonly string[];
  /** Crashed targets, the earliest crash first. */
  readonly targets: readonly TargetId[];
  readonly until: StoreTime;
}

interface Crash {
  readonly target: TargetId;
  at: StoreTime;
  readonly parts: Set<string>;
}

const NO_REPORT: EvidenceReport = { crashes: [], proofs: [] };

/** Returns the key by which crashes of a whole request are counted. */
export function createRequestKey(digest: string): string {
  return REQUEST_KEY_PREFIX + digest;
}

/** Evidence about crashes and prompt parts, as known to one VM. */
export class PartQuarantine {
  /** When an answer to a request with a part last began at this VM. */
  readonly #begun = new LRUCache<string, StoreTime>({ max: MAX_BEGUN_PARTS });
  /** The newest proof of each part in any report. */
  readonly #proofs = new LRUCache<string, StoreTime>({ max: MAX_PROOFS });
  /** Crashes seen by any VM, by target and incarnation. */
  readonly #crashes = new Map<string, Crash>();
  #report = NO_REPORT;
  #suspects: ReadonlyMap<string, readonly string[]> = new Map();
  #quarantined: readonly QuarantinedParts[] = [];
  #isStale = false;
  #expiresAt: StoreTime = Infinity;

  /**
   * Records that an answer to a request with these parts has begun here.
   * Returns whether one of them was a suspect.
   */
  recordBegun(parts: readonly string[], now: StoreTime): boolean {
    for (const part of parts) this.#begun.set(part, now);
    const clearsSuspect = parts.some((part) => this.#suspects.has(part));
    if (clearsSuspect) this.#isStale = true;
    return clearsSuspect;
  }

  /**
   * Records a crash that this VM observed. Returns those of its parts that are
   * now suspects: none was proven harmless.
   */
  recordCrash(crash: CrashReport): readonly string[] {
    const parts = [...new Set(crash.parts)]
      .filter((part) => !this.#isProven(part, crash.at));
    if (parts.length === 0) return parts;
    this.#addCrash({ ...crash, parts });
    this.#report = addOwnCrash(this.#report, { ...crash, parts });
    return parts;
  }

  /**
   * Adds the evidence of a VM. Reports of this VM's earlier incarnation count
   * as its own and are reported again.
   */
  applyReport(
    report: EvidenceReport,
    input: { readonly isOwn: boolean; readonly now: StoreTime },
  ): void {
    const { isOwn, now } = input;
    for (const received of report.crashes) {
      if (isExpired(received.at, now)) continue;
      const crash = { ...received, at: Math.min(received.at, now) };
      this.#addCrash(crash);
      if (isOwn) this.#report = addOwnCrash(this.#report, crash);
    }
    for (const { part, at } of report.proofs) {
      this.#addProof({ part, at: Math.min(at, now) });
    }
    this.#isStale = true;
  }

  /** Whether a request holds a part that may have crashed a target. */
  hasSuspect(parts: readonly string[], now: StoreTime): boolean {
    this.#refresh(now);
    return parts.some((part) => this.#suspects.has(part));
  }

  /** Finds why a request with these parts is refused, if it is. */
  findQuarantined(
    parts: readonly string[],
    now: StoreTime,
  ): QuarantinedParts | undefined {
    this.#refresh(now);
    return this.#quarantined.find((each) =>
      each.parts.every((part) => parts.includes(part))
    );
  }

  /** Returns all quarantined parts; the same array until they change. */
  listQuarantined(now: StoreTime): readonly QuarantinedParts[] {
    this.#refresh(now);
    return this.#quarantined;
  }

  /** Whether other VMs lack a proof that this VM has for a reported part. */
  hasUnreportedProof(now: StoreTime): boolean {
    return this.#listUnreportedProofs(now).length > 0;
  }

  /** Returns the bounded report of this VM, with proofs that others lack. */
  createReport(now: StoreTime): EvidenceReport {
    // Proofs that don't fit stay unreported until the next report.
    const added = this.#listUnreportedProofs(now)
      .slice(0, MAX_REPORTED_PROOFS);
    for (const proof of added) this.#addProof(proof);
    const crashes = this.#report.crashes
      .filter((crash) => !isExpired(crash.at, now));
    const addedParts = new Set(added.map((proof) => proof.part));
    const proofs = [
      ...this.#report.proofs.filter(({ part, at }) =>
        !addedParts.has(part) && !isExpired(at, now)
      ),
      ...added,
    ].slice(-MAX_REPORTED_PROOFS);
    this.#report = { crashes, proofs };
    return this.#report;
  }

  /** Lists suspects of reported crashes that only this VM knows as harmless. */
  #listUnreportedProofs(now: StoreTime): PartProof[] {
    const found = new Map<string, StoreTime>();
    for (const crash of this.#crashes.values()) {
      if (isExpired(crash.at, now)) continue;
      for (const part of crash.parts) {
        const at = this.#begun.peek(part);
        if (at === undefined) continue;
        const crashAt = crash.at;
        if (!provesHarmless(part, { begunAt: at, crashAt })) continue;
        const begunAt = this.#proofs.peek(part);
        if (provesHarmless(part, { begunAt, crashAt })) continue;
        found.set(part, at);
      }
    }
    return [...found].map(([part, at]) => ({ part, at }));
  }

  #addCrash(crash: CrashReport): void {
    const id = `${crash.target}/${crash.incarnation}`;
    const known = this.#crashes.get(id);
    if (known === undefined) {
      const parts = new Set(crash.parts.slice(0, MAX_CRASH_PARTS));
      this.#crashes.set(id, { target: crash.target, at: crash.at, parts });
      if (this.#crashes.size > MAX_CRASHES) this.#evictOldestCrash();
    } else {
      known.at = Math.min(known.at, crash.at);
      for (const part of crash.parts) {
        if (known.parts.size < MAX_CRASH_PARTS) known.parts.add(part);
      }
    }
    this.#isStale = true;
  }

  #evictOldestCrash(): void {
    const [oldest] = [...this.#crashes]
      .sort(([, left], [, right]) => left.at - right.at);
    this.#crashes.delete(oldest![0]);
  }

  #addProof({ part, at }: PartProof): void {
    this.#proofs.set(part, Math.max(at, this.#proofs.peek(part) ?? -Infinity));
    this.#isStale = true;
  }

  #isProven(part: string, crashAt: StoreTime): boolean {
    return [this.#begun.peek(part), this.#proofs.peek(part)]
      .some((begunAt) => provesHarmless(part, { begunAt, crashAt }));
  }

  /** Derives the suspects and the quarantined parts from the evidence. */
  #refresh(now: StoreTime): void {
    if (!this.#isStale && now < this.#expiresAt) return;
    this.#isStale = false;
    const suspects = new Map<string, string[]>();
    this.#expiresAt = Infinity;
    for (const [id, crash] of this.#crashes) {
      if (isExpired(crash.at, now)) {
        this.#crashes.delete(id);
        continue;
      }
      this.#expiresAt = Math.min(this.#expiresAt, crash.at + CRASH_TTL);
      for (const part of crash.parts) {
        if (this.#isProven(part, crash.at)) continue;
        const ids = suspects.get(part) ?? [];
        ids.push(id);
        suspects.set(part, ids);
      }
    }
    this.#suspects = suspects;
    const quarantined = this.#deriveQuarantined();
    if (JSON.stringify(quarantined) !== JSON.stringify(this.#quarantined)) {
      this.#quarantined = quarantined;
    }
  }

  #deriveQuarantined(): QuarantinedParts[] {
    const groups = new Map<string, { parts: string[]; ids: string[] }>();
    for (const [part, ids] of this.#suspects) {
      if (ids.length < CRASHES_TO_REFUSE_PART) continue;
      const key = ids.join(" ");
      const group = groups.get(key) ?? { parts: [], ids: [...ids] };
      group.parts.push(part);
      groups.set(key, group);
    }
    const all = [...groups.values()];
    return all
      .filter((group) => !all.some((other) => explains(other.ids, group.ids)))
      .map((group) => this.#describeGroup(group));
  }

  #describeGroup(
    group: { readonly parts: readonly string[]; readonly ids: string[] },
  ): QuarantinedParts {
    const crashes = group.ids.map((id) => this.#crashes.get(id)!)
      .sort((left, right) => left.at - right.at);
    // The quarantine ends when fewer crashes than it takes remain.
    const last = crashes.at(-CRASHES_TO_REFUSE_PART)!;
    return {
      parts: [...group.parts].sort(),
      targets: crashes.map((crash) => crash.target),
      until: last.at + CRASH_TTL,
    };
  }
}

function isExpired(at: StoreTime, now: StoreTime): boolean {
  return now >= at + CRASH_TTL;
}

/**
 * Whether an answer that began at a time shows that a crash had another cause.
 * For a part an answer shortly before the crash counts as well, since other
 * requests share it. A whole request is answered only by its own repeats and
 * may have turned deadly since, so only an answer after the crash counts.
 */
function provesHarmless(
  key: string,
  times: {
    readonly begunAt: StoreTime | undefined;
    readonly crashAt: StoreTime;
  },
): boolean {
  const { begunAt, crashAt } = times;
  const validBefore = key.startsWith(REQUEST_KEY_PREFIX) ? 0 : PROOF_TTL;
  return begunAt !== undefined && begunAt >= crashAt - validBefore;
}

/** Whether all crashes are also crashes of a part that has more of them. */
function explains(more: readonly string[], fewer: readonly string[]): boolean {
  return more.length > fewer.length && fewer.every((id) => more.includes(id));
}

function addOwnCrash(
  report: EvidenceReport,
  crash: CrashReport,
): EvidenceReport {
  const isSame = (other: CrashReport) =>
    other.target === crash.target && other.incarnation === crash.incarnation;
  const known = report.crashes.find(isSame);
  const merged = {
    target: crash.target,
    incarnation: crash.incarnation,
    at: Math.min(crash.at, known?.at ?? Infinity),
    parts: [...new Set([...known?.parts ?? [], ...crash.parts])]
      .slice(0, MAX_REPORTED_PARTS),
  };
  const others = report.crashes.filter((other) => !isSame(other));
  return {
    ...report,
    crashes: [...others, merged].slice(-MAX_REPORTED_CRASHES),
  };
}
