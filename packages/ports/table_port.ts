/**
 * The platform's transactional table service as anvilrail sees it.
 *
 * A transaction names the version of every row it read and writes rows; it is
 * committed whole or not at all. The HTTP adapter and the in-process fake both
 * have this shape.
 */
import type { Either } from "purify-ts";
import type {
  Millis,
  MonotonicTime,
  PlatformError,
  Row,
  RowWrite,
} from "../core/mod.ts";

/** Says that a row must still have the version it was read at; 0 means absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** One transaction of at most {@link MAX_TRANSACTION_ROWS} rows. */
export interface TableTransaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** What became of a transaction that the service answered. */
export type TransactionAnswer =
  | {
    readonly committed: true;
    /** Version of every row written, where the service tells it. */
    readonly version?: number;
  }
  /** Nothing was written; these rows had another version. */
  | {
    readonly committed: false;
    readonly conflicts: readonly string[];
    /** All rows checked, as they are now, where the service tells them. */
    readonly rows?: readonly Row[];
  };

/** One page of rows in key order. */
export interface RowPage {
  readonly rows: readonly Row[];
  /** Pass as `after` to get the next page; absent on the last one. */
  readonly next?: string;
}

/** Largest number of rows in one transaction or one read. */
export const MAX_TRANSACTION_ROWS = 100;

/** A reading of the service's own steady clock, and when it was on its way. */
export interface ServiceTime {
  /** In milliseconds; comparable between all VMs and lives. */
  readonly time: Millis;
  /** By this process's monotonic clock. */
  readonly sentAt: MonotonicTime;
  readonly receivedAt: MonotonicTime;
}

/** What a writer of rows needs of the table. */
export type RowPort = Pick<TablePort, "read" | "transact" | "readTime">;

/** Reads and changes rows. Calls never throw; they return a platform error. */
export interface TablePort {
  /** Reads rows by key; rows that do not exist are left out. */
  read(keys: readonly string[]): Promise<Either<PlatformError, readonly Row[]>>;
  /** Reads rows whose key starts with a prefix, in key order. */
  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, RowPage>>;
  /** Commits a transaction. `answer-lost` leaves it open whether it took effect. */
  transact(
    transaction: TableTransaction,
  ): Promise<Either<PlatformError, TransactionAnswer>>;
  /** Returns the latest reading of the service's clock, where it tells it. */
  readTime?(): ServiceTime | undefined;
}
