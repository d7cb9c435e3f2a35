/**
 * Port of the platform's store, a transactional database of rows.
 *
 * A transaction atomically checks the versions of the listed rows and writes
 * rows (optimistic concurrency control). The HTTP adapter and the
 * in-process fake both implement this port.
 */
import type { Either } from "purify-ts";
import type {
  Millis,
  MonotonicTime,
  PlatformError,
  Row,
  RowWrite,
} from "../core/mod.ts";

/** Requires that a row still has this version; 0 means that it is absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** One transaction of at most {@link MAX_TRANSACTION_ROWS} rows. */
export interface TableTransaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** The store's answer to a transaction. */
export type TransactionAnswer =
  | {
    readonly committed: true;
    /** New version of every row written, if the store reports it. */
    readonly version?: number;
  }
  /** Nothing was written because these rows had other versions. */
  | {
    readonly committed: false;
    readonly conflicts: readonly string[];
    /** Current state of all checked rows, if the store reports it. */
    readonly rows?: readonly Row[];
  };

/** One page of rows in key order. */
export interface RowPage {
  readonly rows: readonly Row[];
  /** Pass as `after` to get the next page; absent on the last page. */
  readonly next?: string;
}

/** Maximum number of rows in one transaction or one read. */
export const MAX_TRANSACTION_ROWS = 100;

/** A reading of the store's monotonic clock, with its local time bounds. */
export interface ServiceTime {
  /** In milliseconds; comparable between all VMs and incarnations. */
  readonly time: Millis;
  /** Send and receive times by this process's monotonic clock. */
  readonly sentAt: MonotonicTime;
  readonly receivedAt: MonotonicTime;
}

/** The part of the table port that a store writer uses. */
export type RowPort = Pick<
  TablePort,
  "read" | "transact" | "readTime" | "readEra"
>;

/** Reads and changes rows. Calls return platform errors and never throw. */
export interface TablePort {
  /** Reads rows by key; rows that do not exist are omitted. */
  read(keys: readonly string[]): Promise<Either<PlatformError, readonly Row[]>>;
  /** Reads rows by key prefix, in key order. */
  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, RowPage>>;
  /** Commits a transaction. After `answer-lost` it may have taken effect. */
  transact(
    transaction: TableTransaction,
  ): Promise<Either<PlatformError, TransactionAnswer>>;
  /** Returns the latest reading of the store's clock, if it reports one. */
  readTime?(): ServiceTime | undefined;
  /**
   * Returns the store's era by its latest answer, if it counts its restores from
   * a copy; see `readEra` in core.
   */
  readEra?(): number | undefined;
}
