/**
 * Rows in memory to which operations are applied at once, each whole, for
 * tests and experiments that need no service around them.
 */
import type { JsonValue, Row, RowOperation } from "../core/mod.ts";

/** Applies row operations and counts what they write. */
export class MemoryRows {
  readonly #rows = new Map<string, Row>();
  #rowsWritten = 0;

  /** Decides an operation from the present rows and carries it out. */
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

  /** Returns a row's value, or undefined when there is none. */
  peek(key: string): JsonValue | undefined {
    return this.#rows.get(key)?.value;
  }

  /** Returns the rows whose key starts with a prefix, in key order. */
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
    // What the table gives back has been through JSON.
    this.#rows.set(key, {
      key,
      version,
      value: JSON.parse(JSON.stringify(value)),
    });
  }
}
