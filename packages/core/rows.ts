/**
 * Rows of the platform's table service and the operations that change them.
 *
 * An operation is decided from the rows it names and nothing else, so the same
 * function runs in the store writer, in the model checker and in tests. It must
 * be idempotent: when the rows show that it has already taken effect, it writes
 * nothing and returns the result it had. That is how a writer recovers from a
 * lost answer: it reads the rows again and decides again.
 */

/** A value that JSON can carry. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue | undefined };

/** A row as read. Versions start at 1 and rise by one with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** One row to be written; an absent value deletes the row. */
export interface RowWrite {
  readonly key: string;
  readonly value?: JsonValue;
}

/** The rows an operation named, by key; a row that does not exist is absent. */
export type RowView = ReadonlyMap<string, Row>;

/** What an operation wants done, and what its caller is told when it is. */
export interface RowDecision<Result> {
  readonly writes: readonly RowWrite[];
  readonly result: Result;
}

/**
 * A change to a few rows, applied in one transaction.
 *
 * `Result` describes a refusal as well as a success: an operation that declines
 * returns no writes and a result that says why.
 */
export interface RowOperation<Result> {
  /** Unique name of this change, kept in the rows it writes. */
  readonly id: string;
  /** Keys of every row that `decide` reads or writes. At most 20. */
  readonly keys: readonly string[];
  /** Decides from the current rows. Pure and idempotent. */
  decide(rows: RowView): RowDecision<Result>;
}
