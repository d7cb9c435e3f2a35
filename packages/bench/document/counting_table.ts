/** An in-memory table that counts the rows and bytes read and written. */
import { Right } from "purify-ts";
import type { JsonValue, Row, RowOperation } from "../../core/mod.ts";
import type { DocumentReader } from "../../document/mod.ts";

/** A table that never fails; bytes are those of the row values as JSON. */
export class CountingTable implements DocumentReader {
  readonly #rows = new Map<string, Row>();
  rowsRead = 0;
  bytesRead = 0;
  rowsWritten = 0;
  bytesWritten = 0;

  read(keys: readonly string[]) {
    const rows = keys.flatMap((key) => this.#rows.get(key) ?? []);
    return Promise.resolve(Right(this.#countRead(rows)));
  }

  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ) {
    const after = options.after ?? "";
    const rows = [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    const page = this.#countRead(rows.slice(0, options.limit));
    const last = page.at(-1);
    const more = rows.length > page.length && last !== undefined;
    return Promise.resolve(
      Right(more ? { rows: page, next: last.key } : { rows: page }),
    );
  }

  run<Result>(operation: RowOperation<Result>) {
    const { writes, result } = operation.decide(this.#rows);
    for (const { key, value } of writes) {
      this.rowsWritten++;
      this.bytesWritten += countBytes(value ?? null);
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      this.#rows.set(key, { key, version, value: value ?? null });
    }
    return Promise.resolve(Right(result));
  }

  clearCounts(): void {
    this.rowsRead = 0;
    this.bytesRead = 0;
    this.rowsWritten = 0;
    this.bytesWritten = 0;
  }

  #countRead(rows: readonly Row[]): readonly Row[] {
    this.rowsRead += rows.length;
    for (const row of rows) this.bytesRead += countBytes(row.value);
    return rows;
  }
}

function countBytes(value: JsonValue): number {
  return Buffer.byteLength(JSON.stringify(value));
}
