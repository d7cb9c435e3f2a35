/**
 * Port of a platform table that other systems write and anvilrail only reads:
 * it loads the complete table once and then follows its changes.
 */
import type { Either } from "purify-ts";
import type { Millis, PlatformError } from "../core/mod.ts";

/** The current state of one row. */
export interface FeedRow<Value> {
  readonly key: string;
  readonly version: number;
  /** Absent when the row was removed or is invalid. */
  readonly value?: Value;
  /** Why the value is invalid, if another writer than its owner wrote it. */
  readonly fault?: string;
}

/** Rows and the table version up to which they include every change. */
export interface FeedPage<Value> {
  readonly rows: readonly FeedRow<Value>[];
  readonly version: number;
}

/** Result of waiting for changes of a table. */
export type FeedChange<Value> =
  | { readonly historyLost: false; readonly page: FeedPage<Value> }
  /** The service no longer has these changes: load the complete table. */
  | { readonly historyLost: true };

/** Reads one table and its changes. Calls return errors and never throw. */
export interface FeedPort<Value> {
  /** Reads the complete table. The result may be older than an earlier one. */
  load(): Promise<Either<PlatformError, FeedPage<Value>>>;
  /** Waits up to `wait` milliseconds for changes after version `after`. */
  follow(
    after: number,
    wait: Millis,
  ): Promise<Either<PlatformError, FeedChange<Value>>>;
}
