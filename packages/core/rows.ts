/**
 * Rows of the store (the platform's table service) and the operations that
 * change them.
 *
 * An operation is decided only from the rows that it names, so the same
 * function runs in the store writer, in the model checker and in tests. It must
 * be idempotent: if the rows show that it has already taken effect, it writes
 * nothing and returns the same result as before. A writer relies on this to
 * recover from a lost answer: it reads the rows again and decides again.
 */

/** A value that can be represented in JSON. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue | undefined };

/**
 * A row as read. Its version starts at 1 and increases by 1 with each write.
 */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** A write to one row. If the value is absent, the row is deleted. */
export interface RowWrite {
  readonly key: string;
  readonly value?: JsonValue;
}

/** The existing rows among those that an operation names, by key. */
export type RowView = ReadonlyMap<string, Row>;

/** The writes of an operation, and its result once they have been applied. */
export interface RowDecision<Result> {
  readonly writes: readonly RowWrite[];
  readonly result: Result;
}

/**
 * A change to a few rows, applied in one transaction.
 *
 * `Result` describes both success and refusal: an operation that refuses the
 * change returns no writes and a result that gives the reason.
 */
export interface RowOperation<Result> {
  /** Unique identifier of this change, stored in the rows that it writes. */
  readonly id: string;
  /** Keys of all rows that `decide` reads or writes; 20 at most. */
  readonly keys: readonly string[];
  /**
   * Returns the writes and the result for the current rows. Pure and
   * idempotent.
   */
  decide(rows: RowView): RowDecision<Result>;
}
