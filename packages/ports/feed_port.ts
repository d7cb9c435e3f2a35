/**
 * Port of a store table that other systems write and anvilrail only reads: a
 * reader loads the complete table and then follows its changes.
 */
import type { Either } from "purify-ts";
import type { Millis, PlatformError } from "../core/mod.ts";

/** The current state of one row. */
export interface FeedRow<Value> {
  readonly key: string;
  readonly version: number;
  /** Absent when the row was removed, is invalid or is irrelevant. */
  readonly value?: Value;
  /** Why the value is invalid; its writer may not have been its owner. */
  readonly fault?: string;
}

/** Rows and the version up to which they include every change. */
export interface FeedPage<Value> {
  readonly rows: readonly FeedRow<Value>[];
  readonly version: number;
  /**
   * Whether later changes may have been left out for their size, so that the
   * page doesn't show what was current when it was read.
   */
  readonly mayBeCut?: boolean;
}

/** Result of waiting for changes of a table. */
export type FeedChange<Value> =
  | { readonly historyLost: false; readonly page: FeedPage<Value> }
  /** The store no longer has these changes: load the complete table. */
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
