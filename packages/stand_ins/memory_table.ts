/**
 * An in-memory fake of the store, with rate limits, outages and lost answers. It
 * implements {@link TablePort}; `startTableServer` serves it over HTTP.
 */
import { Either, Left, Right } from "purify-ts";
import {
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type PlatformError,
  PlatformErrorKind,
  type Row,
} from "../core/mod.ts";
import type {
  RowPage,
  TablePort,
  TableTransaction,
  TransactionAnswer,
} from "../ports/mod.ts";

/** The fault that is injected into one call. */
export enum CallFault {
  None = "none",
  /** The store is unavailable; the call has no effect. */
  Down = "down",
  /** The write takes effect, but its answer is lost; a read fails as if down. */
  AnswerLost = "answer-lost",
}

/** Rate limits and faults of the store. */
export interface MemoryTableOptions {
  /** Rows written per second before throttling starts; unlimited if absent. */
  readonly writesPerSecond?: number;
  /** Rows read per second before throttling starts; unlimited if absent. */
  readonly readsPerSecond?: number;
  readonly now?: () => MonotonicTime;
  /** Returns the fault of a call; invoked once per call. No faults if absent. */
  readonly chooseFault?: (call: "read" | "write") => CallFault;
}

/** Counts of rows, transactions and refusals since the store was created. */
export interface TableCounts {
  readonly rowsWritten: number;
  readonly rowsRead: number;
  readonly transactions: number;
  readonly conflicts: number;
  readonly throttled: number;
}

/** Token bucket that holds at most one second's worth of units. */
class RateLimit {
  readonly #perSecond: number;
  #available: number;
  #refilledAt: MonotonicTime;

  constructor(perSecond: number, now: MonotonicTime) {
    this.#perSecond = perSecond;
    this.#available = perSecond;
    this.#refilledAt = now;
  }

  /** Takes units, or returns false and takes none if too few are available. */
  take(units: number, now: MonotonicTime): boolean {
    const refill = (now - this.#refilledAt) * this.#perSecond /
      MILLIS_PER_SECOND;
    this.#available = Math.min(this.#perSecond, this.#available + refill);
    this.#refilledAt = now;
    if (this.#available < units) return false;
    this.#available -= units;
    return true;
  }
}

/** In-memory implementation of the store's port. */
export class MemoryTable implements TablePort {
  readonly #rows = new Map<string, Row>();
  /**
   * Versions of deleted rows. A row that is created again continues from there,
   * so that a key never has the same version twice.
   */
  readonly #deleted = new Map<string, number>();
  readonly #now: () => MonotonicTime;
  readonly #chooseFault: (call: "read" | "write") => CallFault;
  readonly #writeLimit: RateLimit | undefined;
  readonly #readLimit: RateLimit | undefined;
  #counts = {
    rowsWritten: 0,
    rowsRead: 0,
    transactions: 0,
    conflicts: 0,
    throttled: 0,
  };

  constructor(options: MemoryTableOptions = {}) {
    this.#now = options.now ?? (() => performance.now());
    this.#chooseFault = options.chooseFault ?? (() => CallFault.None);
    const start = this.#now();
    this.#writeLimit = createLimit(options.writesPerSecond, start);
    this.#readLimit = createLimit(options.readsPerSecond, start);
  }

  /** Returns the counts so far. */
  readCounts(): TableCounts {
    return { ...this.#counts };
  }

  /** Returns a row without counting the read, for tests. */
  peek(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  read(
    keys: readonly string[],
  ): Promise<Either<PlatformError, readonly Row[]>> {
    return Promise.resolve(
      this.#admit("read", keys.length).map(() => {
        this.#counts.rowsRead += keys.length;
        return keys.map((key) => this.#rows.get(key)).filter((row) =>
          row !== undefined
        );
      }),
    );
  }

  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, RowPage>> {
    return Promise.resolve(
      this.#admit("read", 1).map(() => {
        const after = options.after ?? "";
        const keys = [...this.#rows.keys()]
          .filter((key) => key.startsWith(prefix) && key > after)
          .sort();
        const page = keys.slice(0, options.limit);
        this.#counts.rowsRead += page.length;
        const rows = page.map((key) => this.#rows.get(key)!);
        const last = page.at(-1);
        return keys.length > page.length && last !== undefined
          ? { rows, next: last }
          : { rows };
      }),
    );
  }

  transact(
    transaction: TableTransaction,
  ): Promise<Either<PlatformError, TransactionAnswer>> {
    const fault = this.#chooseFault("write");
    if (fault === CallFault.Down) {
      return Promise.resolve(Left(createError(PlatformErrorKind.NotDone)));
    }
    const rows = Math.max(1, transaction.writes.length);
    if (!takeUnits(this.#writeLimit, rows, this.#now())) {
      this.#counts.throttled++;
      return Promise.resolve(Left(createError(PlatformErrorKind.Throttled)));
    }
    const answer = this.#commit(transaction);
    return Promise.resolve(
      fault === CallFault.AnswerLost
        ? Left(createError(PlatformErrorKind.AnswerLost))
        : Right(answer),
    );
  }

  /** Returns an error if an injected fault or the read limit refuses a read. */
  #admit(call: "read", rows: number): Either<PlatformError, void> {
    if (this.#chooseFault(call) !== CallFault.None) {
      return Left(createError(PlatformErrorKind.NotDone));
    }
    if (!takeUnits(this.#readLimit, Math.max(1, rows), this.#now())) {
      this.#counts.throttled++;
      return Left(createError(PlatformErrorKind.Throttled));
    }
    return Right(undefined);
  }

  #commit(transaction: TableTransaction): TransactionAnswer {
    const conflicts = transaction.checks
      .filter((check) => this.#readVersion(check.key) !== check.version)
      .map((check) => check.key);
    if (conflicts.length > 0) {
      this.#counts.conflicts++;
      return { committed: false, conflicts };
    }
    for (const write of transaction.writes) {
      const before = this.#rows.get(write.key)?.version ??
        this.#deleted.get(write.key) ?? 0;
      const version = before + 1;
      if (write.value === undefined) {
        this.#rows.delete(write.key);
        this.#deleted.set(write.key, version);
      } else {
        // Copied, so that callers can't change the stored value.
        const value = structuredClone(write.value);
        this.#rows.set(write.key, { key: write.key, version, value });
      }
    }
    this.#counts.transactions++;
    this.#counts.rowsWritten += transaction.writes.length;
    return { committed: true };
  }

  #readVersion(key: string): number {
    return this.#rows.get(key)?.version ?? 0;
  }
}

function createLimit(
  perSecond: number | undefined,
  now: MonotonicTime,
): RateLimit | undefined {
  return perSecond === undefined ? undefined : new RateLimit(perSecond, now);
}

function takeUnits(
  limit: RateLimit | undefined,
  units: number,
  now: MonotonicTime,
): boolean {
  return limit === undefined || limit.take(units, now);
}

const REMEDIES = {
  [PlatformErrorKind.NotDone]: "Try again later; nothing was written.",
  [PlatformErrorKind.Throttled]: "Send fewer requests; nothing was written.",
  [PlatformErrorKind.AnswerLost]: "Read the rows back before trying again.",
  [PlatformErrorKind.BadAnswer]: "Check the service's version.",
};

function createError(kind: PlatformErrorKind): PlatformError {
  return {
    kind,
    message: `store: ${kind}`,
    remedy: REMEDIES[kind],
  };
}
