import test from "ava";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

/** Starts calls of a group; returns the periods of those that may run. */
function startCalls(limit: ConcurrencyLimit, group: string): number[] {
  const started: number[] = [];
  for (let call = 0; call < 100; call++) {
    void limit.waitTurn(group).then((period) => started.push(period!));
  }
  return started;
}

const settle = () => new Promise<void>((done) => setImmediate(done));

test("calls that exceed their time together leave one in progress, and each quick answer adds one", async (t) => {
  const limit = new ConcurrencyLimit();
  const started = startCalls(limit, "rows");
  await settle();
  const atOnce = started.length;
  t.true(atOnce > 1 && atOnce < 100);
  for (const period of [...started]) limit.recordExceeded(period);
  await settle();
  t.is(started.length, atOnce + 1);
  const period = started.at(-1)!;
  const expected = [[true, 3], [true, 5], [false, 6], [undefined, 7]] as const;
  for (const [isQuick, total] of expected) {
    if (isQuick === undefined) limit.recordFailure(period);
    else limit.recordAnswer(period, { isQuick });
    await settle();
    t.is(started.length, atOnce + total);
  }
});

test("many waiting calls of one group don't delay those of another", async (t) => {
  const limit = new ConcurrencyLimit();
  const [first] = [startCalls(limit, "budgets"), await settle()];
  const second = startCalls(limit, "presence");
  limit.recordAnswer(first[0]!, { isQuick: true });
  await settle();
  t.is(second.length, 1);
});
