/** Facts about one call to the store, which its client reports for metrics. */
import type { Bytes, Millis } from "../core/mod.ts";

/** What a call to the store asks for. */
export enum StoreCallKind {
  Read = "read",
  /** Waits for changes of a table. */
  Feed = "feed",
  Transaction = "transaction",
}

/** How a call to the store ended. */
export enum StoreCallOutcome {
  Done = "done",
  /** A transaction wrote nothing, since a row had another version. */
  Conflict = "conflict",
  /** The store no longer has all changes that a feed call asked for. */
  HistoryLost = "history-lost",
  /** Refused because too many calls are made. */
  Throttled = "throttled",
  /** The store answered with another error. */
  Refused = "refused",
  /** There was no connection, or no complete answer within the time limit. */
  NoAnswer = "no-answer",
}

/** One call to the store that has ended. */
export interface StoreCall {
  /** Name of the rows that it reads, follows or writes, as in logs. */
  readonly table: string;
  readonly kind: StoreCallKind;
  readonly outcome: StoreCallOutcome;
  /** Size of the request's body. */
  readonly sentBytes: Bytes;
  /** Size of the answer's body, as far as it arrived. */
  readonly receivedBytes: Bytes;
  /** From the call to its end; includes the time for which a feed waits. */
  readonly duration: Millis;
}
