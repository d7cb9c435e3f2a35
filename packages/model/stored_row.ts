/**
 * A row of the store and the writes that were sent to it. A write holds the
 * complete new value and the row version that it was decided from. The store
 * may apply it at any time, also after its sender has abandoned it.
 */

/** A row with its version. */
export interface StoredRow<Value> {
  readonly version: number;
  readonly value: Value;
}

/**
 * A write that was sent to the store and is neither applied nor refused yet.
 */
export interface SentWrite<Value> {
  /** Row version that the write was decided from. */
  readonly base: number;
  readonly value: Value;
}

/** Returns the row after a write; the same object if the write is refused. */
export function applyWrite<Value>(
  row: StoredRow<Value>,
  write: SentWrite<Value>,
  options: { readonly checkVersion: boolean },
): StoredRow<Value> {
  if (options.checkVersion && write.base !== row.version) return row;
  return { version: row.version + 1, value: write.value };
}
