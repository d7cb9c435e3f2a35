/**
 * A table of the platform that others write and anvilrail follows: read whole
 * once, then change by change.
 */
import type { Either } from "purify-ts";
import type { Millis, PlatformError } from "../core/mod.ts";

/** One row as it is now. */
export interface FeedRow<Value> {
  readonly key: string;
  readonly version: number;
  /** Absent when the row was removed or can't be used. */
  readonly value?: Value;
  /** Why the row can't be used, when something else than its owner wrote it. */
  readonly fault?: string;
}

/** Rows and the version up to which they are complete. */
export interface FeedPage<Value> {
  readonly rows: readonly FeedRow<Value>[];
  readonly version: number;
}

/** What following a table brought. */
export type FeedChange<Value> =
  | { readonly historyLost: false; readonly page: FeedPage<Value> }
  /** The changes after the version asked for are forgotten: read it whole. */
  | { readonly historyLost: true };

/** Follows one table. Calls never throw; they return a platform error. */
export interface FeedPort<Value> {
  /** Reads the whole table. An answer may be older than one before it. */
  load(): Promise<Either<PlatformError, FeedPage<Value>>>;
  /** Waits for changes after a version, at most so long. */
  follow(
    after: number,
    wait: Millis,
  ): Promise<Either<PlatformError, FeedChange<Value>>>;
}
