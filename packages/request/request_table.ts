/**
 * In-memory table of one VM's requests by customer and request key: those in
 * progress and those that ended most recently. A duplicate of a request in
 * progress joins its run and gets the same answer. A key that is reused with a
 * different body is refused.
 *
 * The table only saves work within one VM; correctness does not depend on it.
 * The claim row guarantees that a call never runs twice, and the bill's
 * identity that it is billed once.
 */
import {
  type BodyDigest,
  type Bytes,
  BYTES_PER_MIB,
  type CustomerId,
  type Millis,
  MILLIS_PER_MINUTE,
  type MonotonicTime,
  type RequestKey,
} from "../core/mod.ts";

/** Limits on the kept outcomes of ended requests. */
export interface RetentionLimits {
  readonly entries: number;
  readonly bytes: Bytes;
  readonly age: Millis;
}

/** Default limits on kept outcomes. */
export const DEFAULT_RETENTION_LIMITS: RetentionLimits = {
  entries: 5_000,
  bytes: 16 * BYTES_PER_MIB,
  age: 10 * MILLIS_PER_MINUTE,
};

/** The identity of a request and the digest of its body. */
export interface KeyedRequest {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly digest: BodyDigest;
}

/** Result of looking up a request in the table. */
export enum AdmitState {
  /** The request is not in the table: this caller starts its run. */
  Started = "started",
  /** A run of the request is in progress: wait until it ends. */
  Joined = "joined",
  /** The request ended and its outcome is kept. */
  Kept = "kept",
  /** The key was used with a different body. */
  OtherBody = "other-body",
}

/** Result of admitting a request. */
export type AdmitResult<Outcome> =
  | {
    readonly state: AdmitState.Started | AdmitState.Joined;
    /** Identifier of the run, unique within the table. */
    readonly run: number;
  }
  | { readonly state: AdmitState.Kept; readonly outcome: Outcome }
  | { readonly state: AdmitState.OtherBody };

interface Run {
  readonly key: string;
  readonly digest: BodyDigest;
  callers: number;
}

interface KeptEntry<Outcome> {
  readonly digest: BodyDigest;
  readonly outcome: Outcome;
  readonly bytes: Bytes;
  readonly endedAt: MonotonicTime;
}

/**
 * Requests in progress and kept outcomes. Kept outcomes are limited in number,
 * total bytes and age.
 */
export class RequestTable<Outcome> {
  readonly #limits: RetentionLimits;
  readonly #runs = new Map<number, Run>();
  readonly #runByKey = new Map<string, number>();
  /** Insertion order is the order in which the requests ended. */
  readonly #kept = new Map<string, KeptEntry<Outcome>>();
  #keptBytes = 0;
  #lastRun = 0;

  constructor(limits: RetentionLimits = DEFAULT_RETENTION_LIMITS) {
    this.#limits = limits;
  }

  /**
   * Admits a request. It starts a run, joins the run in progress, gets a kept
   * outcome, or is rejected because its key was used with a different body.
   */
  admit(request: KeyedRequest, now: MonotonicTime): AdmitResult<Outcome> {
    this.expire(now);
    const key = formatTableKey(request);
    const { digest } = request;
    const run = this.#runByKey.get(key);
    const kept = this.#kept.get(key);
    const known = (run === undefined ? kept : this.#runs.get(run))?.digest;
    if (known !== undefined && known !== digest) {
      return { state: AdmitState.OtherBody };
    }
    if (run !== undefined) {
      this.#runs.get(run)!.callers++;
      return { state: AdmitState.Joined, run };
    }
    if (kept !== undefined) {
      return { state: AdmitState.Kept, outcome: kept.outcome };
    }
    const started = ++this.#lastRun;
    this.#runs.set(started, { key, digest, callers: 1 });
    this.#runByKey.set(key, started);
    return { state: AdmitState.Started, run: started };
  }

  /**
   * Removes one caller from a run in progress and returns the number of callers
   * that remain; returns 0 if the run is not in progress.
   */
  removeCaller(run: number): number {
    const known = this.#runs.get(run);
    if (known === undefined) return 0;
    known.callers = Math.max(0, known.callers - 1);
    return known.callers;
  }

  /**
   * Ends a run. With `keep`, later duplicates get its outcome, unless it is
   * larger than the limit on bytes; otherwise the key is free again. Does
   * nothing if the run has ended already.
   */
  finish(
    run: number,
    input: {
      readonly now: MonotonicTime;
      readonly keep?: { readonly outcome: Outcome; readonly bytes: Bytes };
    },
  ): void {
    const known = this.#runs.get(run);
    if (known === undefined) return;
    this.#runs.delete(run);
    this.#runByKey.delete(known.key);
    const { keep, now } = input;
    if (keep === undefined || keep.bytes > this.#limits.bytes) return;
    this.#kept.set(known.key, {
      digest: known.digest,
      endedAt: now,
      ...keep,
    });
    this.#keptBytes += keep.bytes;
    this.expire(now);
  }

  /** Removes kept outcomes that exceed the limits, oldest first. */
  expire(now: MonotonicTime): void {
    const { entries, bytes, age } = this.#limits;
    for (const [key, entry] of this.#kept) {
      const isExpired = now - entry.endedAt >= age;
      const isOverLimit = this.#kept.size > entries || this.#keptBytes > bytes;
      if (!isExpired && !isOverLimit) return;
      this.#kept.delete(key);
      this.#keptBytes -= entry.bytes;
    }
  }

  /** Returns whether a run is in progress. */
  isInProgress(run: number): boolean {
    return this.#runs.has(run);
  }

  /** Returns the numbers of requests and bytes for the state dump. */
  readCounts(): {
    readonly inProgress: number;
    readonly kept: number;
    readonly keptBytes: Bytes;
  } {
    return {
      inProgress: this.#runs.size,
      kept: this.#kept.size,
      keptBytes: this.#keptBytes,
    };
  }
}

function formatTableKey(request: KeyedRequest): string {
  return JSON.stringify([request.customer, request.requestKey]);
}
