/**
 * In-memory rows for tests and experiments that run without a store. Each
 * operation is applied synchronously and atomically.
 */
import type { JsonValue, Row, RowOperation } from "../core/mod.ts";

/** Applies row operations and counts the rows that they write. */
export class MemoryRows {
  readonly #rows = new Map<string, Row>();
  #rowsWritten = 0;

  /** Runs an operation on the current rows and writes the rows it returns. */
  apply<Result>(operation: RowOperation<Result>): Result {
    const view = new Map(
      operation.keys.flatMap((key) => {
        const row = this.#rows.get(key);
        return row === undefined ? [] : [[key, row] as const];
      }),
    );
    const decision = operation.decide(view);
    for (const write of decision.writes) this.#write(write.key, write.value);
    return decision.result;
  }

  /** Returns the value of a row, or undefined if there is no such row. */
  peek(key: string): JsonValue | undefined {
    return this.#rows.get(key)?.value;
  }

  /** Returns the rows whose keys start with a prefix, sorted by key. */
  list(prefix: string): Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
  }

  /** Returns the number of rows written so far. */
  readRowsWritten(): number {
    return this.#rowsWritten;
  }

  #write(key: string, value: JsonValue | undefined): void {
    this.#rowsWritten++;
    if (value === undefined) {
      this.#rows.delete(key);
      return;
    }
    const version = (this.#rows.get(key)?.version ?? 0) + 1;
    // Copied through JSON, like the values that the store returns over HTTP.
    this.#rows.set(key, {
      key,
      version,
      value: JSON.parse(JSON.stringify(value)),
    });
  }
}
