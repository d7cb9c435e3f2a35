import test from "ava";
import type { JsonValue, RowOperation } from "../core/mod.ts";
import { MemoryTable } from "../stand_ins/mod.ts";
import { type OperationFacts, StoreWriter } from "./mod.ts";

const KEY = "budget/tours";

/** Adds one to the number in the row. */
function createIncrement(id: string): RowOperation<number> {
  return {
    id,
    keys: [KEY],
    decide: (rows) => {
      const value = readNumber(rows.get(KEY)?.value) + 1;
      return { writes: [{ key: KEY, value }], result: value };
    },
  };
}

function readNumber(value: JsonValue | undefined): number {
  return typeof value === "number" ? value : 0;
}

function createWriter(table: MemoryTable): StoreWriter {
  return new StoreWriter({
    table,
    clock: { readMonotonic: () => 0, readWall: () => 0 },
    random: () => 0.5,
    sleep: () => Promise.resolve(),
    groupDelay: 0,
  });
}

test("an operation that lost conflicts says how many, and how large its row is", async (t) => {
  const table = new MemoryTable();
  const [first, second] = [createWriter(table), createWriter(table)];
  const facts: OperationFacts[] = [];
  const options = {
    giveUpAt: Infinity,
    onCompleted: (each: OperationFacts) => facts.push(each),
  };
  await first.run(createIncrement("a"), options);
  await second.run(createIncrement("b"), options);
  await first.run(createIncrement("c"), options);
  t.deepEqual(facts, [
    { conflicts: 0, rowBytes: 1 },
    { conflicts: 0, rowBytes: 1 },
    { conflicts: 1, rowBytes: 1 },
  ]);
});
