/**
 * A row of the store and the writes under way to it. A write carries the whole
 * new value and the version it was decided from, so it may land at any time
 * after its sender gave it up.
 */

/** A row with its version. */
export interface StoredRow<Value> {
  readonly version: number;
  readonly value: Value;
}

/** A write under way. */
export interface SentWrite<Value> {
  readonly base: number;
  readonly value: Value;
}

/** Returns the row after a write landed; the same row when it was refused. */
export function applyWrite<Value>(
  row: StoredRow<Value>,
  write: SentWrite<Value>,
  options: { readonly checkVersion: boolean },
): StoredRow<Value> {
  if (options.checkVersion && write.base !== row.version) return row;
  return { version: row.version + 1, value: write.value };
}
