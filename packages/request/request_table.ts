/**
 * The requests of one VM by customer and request key: those in progress and
 * the latest that ended. Duplicates of one key join the run that is in
 * progress and get its answer; a key that comes back with another body is
 * refused.
 *
 * The table is a convenience of one VM. That a call is never run twice rests
 * on its claim row, and that it is billed once on the bill's identity.
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

/** Bounds of what is kept of ended requests. */
export interface RetentionLimits {
  readonly entries: number;
  readonly bytes: Bytes;
  readonly age: Millis;
}

/** Default bounds. */
export const DEFAULT_RETENTION_LIMITS: RetentionLimits = {
  entries: 5_000,
  bytes: 16 * BYTES_PER_MIB,
  age: 10 * MILLIS_PER_MINUTE,
};

/** One request as the table sees it. */
export interface KeyedRequest {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly digest: BodyDigest;
}

/** What a request meets in the table. */
export enum AdmitState {
  /** Nothing is known of it: this caller starts the run. */
  Started = "started",
  /** A run is in progress: wait for its end. */
  Joined = "joined",
  /** It ended and its outcome is kept. */
  Kept = "kept",
  /** The key belongs to another body. */
  OtherBody = "other-body",
}

/** The answer to admitting a request. */
export type AdmitResult<Outcome> =
  | {
    readonly state: AdmitState.Started | AdmitState.Joined;
    /** Names the run, unique within the table. */
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

/** Requests in progress and kept outcomes, bounded in number, bytes and age. */
export class RequestTable<Outcome> {
  readonly #limits: RetentionLimits;
  readonly #runs = new Map<number, Run>();
  readonly #runByKey = new Map<string, number>();
  /** In the order in which they ended. */
  readonly #kept = new Map<string, KeptEntry<Outcome>>();
  #keptBytes = 0;
  #lastRun = 0;

  constructor(limits: RetentionLimits = DEFAULT_RETENTION_LIMITS) {
    this.#limits = limits;
  }

  /** Admits a request: it starts a run, joins one, or has ended already. */
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

  /** Takes one caller off a run that is in progress; returns how many are left. */
  removeCaller(run: number): number {
    const known = this.#runs.get(run);
    if (known === undefined) return 0;
    known.callers = Math.max(0, known.callers - 1);
    return known.callers;
  }

  /**
   * Ends a run. With `keep` its outcome is given to later duplicates; without,
   * the key is free again. Ending a run twice does nothing.
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

  /** Drops kept outcomes that are too old or too many, oldest first. */
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

  /** Tells whether a run is in progress. */
  isInProgress(run: number): boolean {
    return this.#runs.has(run);
  }

  /** Returns the sizes for the state dump. */
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
