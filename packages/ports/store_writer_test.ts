import test from "ava";
import { Right } from "purify-ts";
import {
  type JsonValue,
  type Millis,
  MILLIS_PER_SECOND,
  type Row,
  type RowOperation,
} from "../core/mod.ts";
import {
  FAR_ROUND_TRIP as FAR,
  ROW_TRANSACTION_TIME,
  runRowWriters,
  VirtualClock,
} from "../bench/mod.ts";
import { CallFault, MemoryTable } from "../stand_ins/mod.ts";
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
    { conflicts: 0, failures: 0, rowBytes: 1 },
    { conflicts: 0, failures: 0, rowBytes: 1 },
    { conflicts: 1, failures: 0, rowBytes: 1 },
  ]);
});

test("an operation whose calls failed says how many, and why the last did", async (t) => {
  let calls = 0;
  const table = new MemoryTable({
    chooseFault: () => ++calls < 3 ? CallFault.Down : CallFault.None,
  });
  const facts: OperationFacts[] = [];
  await createWriter(table).run(createIncrement("a"), {
    giveUpAt: Infinity,
    onCompleted: (each) => facts.push(each),
  });
  t.is(facts[0]?.failures, 2);
  t.regex(facts[0]?.failureReason ?? "", /\w/);
});

/** Duration of a simulated run. */
const RUN_TIME: Millis = 20 * MILLIS_PER_SECOND;

/** Maximum time that a request waits for tokens. */
const MAX_WAIT: Millis = 800;

test("writers far from the store get through beside as many near ones within the time that a request waits", async (t) => {
  const { far } = await runRowWriters({
    duration: RUN_TIME,
    perRegion: 5,
    pause: MAX_WAIT,
  });
  const late = far.durations.filter((duration) => duration > MAX_WAIT);
  t.true(late.length <= far.durations.length / 20);
  // Each writer completes more than half of what it would without the others.
  const alone = RUN_TIME / (MAX_WAIT + FAR + ROW_TRANSACTION_TIME);
  t.true(far.durations.length > 5 * alone / 2);
});

test("adding writers of a row doesn't use up its transactions in attempts that fail", async (t) => {
  for (const perRegion of [3, 10, 20]) {
    const { near, far } = await runRowWriters({
      duration: RUN_TIME,
      perRegion,
      pause: 400,
    });
    const completed = near.durations.length + far.durations.length;
    const transactions = near.transactions + far.transactions;
    t.true(transactions <= 10 * completed, `${perRegion} a region`);
  }
});

test("an operation that always loses conflicts makes several attempts, the second at once, and never repeats without bound", async (t) => {
  const clock = new VirtualClock();
  const attempts: Millis[] = [];
  let version = 1;
  const readRow = (): Row => ({ key: KEY, version: version++, value: 1 });
  const writer = new StoreWriter({
    table: {
      async read() {
        await clock.wait(FAR);
        return Right([readRow()]);
      },
      async transact() {
        attempts.push(clock.readMonotonic());
        await clock.wait(FAR);
        return Right({ committed: false, conflicts: [KEY], rows: [readRow()] });
      },
    },
    clock,
    random: () => 0.5,
    sleep: (duration) => clock.wait(duration),
    groupDelay: 0,
  });
  void writer.run(createIncrement("a"), { giveUpAt: Infinity });
  await clock.runUntil(FAR + MAX_WAIT);
  t.is(attempts[1]! - attempts[0]!, FAR);
  t.true(attempts.length >= 5);
  await clock.runUntil(RUN_TIME);
  const late = attempts.filter((at) => at > RUN_TIME - MILLIS_PER_SECOND);
  // A request's wait of 800 ms has at least two attempts, however long it took.
  t.true(late.length >= 2 && late.length <= 5);
});
