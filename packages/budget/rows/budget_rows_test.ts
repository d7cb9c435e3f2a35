/** Tests of the operations on budget rows. */
import test from "ava";
import type { Row, RowOperation, RowView } from "../../core/mod.ts";
import {
  computeBudgetLeft,
  createCloseGrant,
  createTakeGrant,
  createTopUp,
  parseBudgetRow,
} from "../mod.ts";

class Rows {
  readonly #rows = new Map<string, Row>();

  apply<Result>(operation: RowOperation<Result>): Result {
    const view: RowView = this.#rows;
    const decision = operation.decide(view);
    for (const write of decision.writes) {
      const version = (this.#rows.get(write.key)?.version ?? 0) + 1;
      const value = structuredClone(write.value ?? null);
      this.#rows.set(write.key, { key: write.key, version, value });
    }
    return decision.result;
  }

  readLeft(): number {
    const row = this.#rows.get("budget/e");
    return parseBudgetRow(row?.value ?? null).map(computeBudgetLeft)
      .unsafeCoerce();
  }
}

function takeGrant(grantId: string, wanted: number) {
  return createTakeGrant({
    eventId: "e",
    grantId,
    vm: "vm-1",
    incarnation: "1",
    wanted,
    least: 1,
    initialLimit: 100,
    wallTime: 0,
  });
}

test("a grant that is decided again is granted once", (t) => {
  const rows = new Rows();
  t.deepEqual(rows.apply(takeGrant("g1", 60)), { size: 60, budgetLeft: 40 });
  t.deepEqual(rows.apply(takeGrant("g1", 60)), { size: 60, budgetLeft: 40 });
  t.is(rows.readLeft(), 40);
});

test("grants never exceed the limit", (t) => {
  const rows = new Rows();
  rows.apply(takeGrant("g1", 60));
  t.is(rows.apply(takeGrant("g2", 60)).size, 40);
  t.is(rows.apply(takeGrant("g3", 60)).size, 0);
});

test("closing a grant twice gives its rest back once", (t) => {
  const rows = new Rows();
  rows.apply(takeGrant("g1", 60));
  const close = createCloseGrant({
    eventId: "e",
    grantId: "g1",
    spent: 10,
    initialLimit: 100,
  });
  t.true(rows.apply(close).closedNow);
  t.false(rows.apply(close).closedNow);
  t.is(rows.readLeft(), 90);
});

test("a top-up id raises the limit once", (t) => {
  const rows = new Rows();
  const topUp = createTopUp({
    eventId: "e",
    topUpId: "t1",
    tokens: 50,
    initialLimit: 100,
    wallTime: 0,
  });
  t.true(rows.apply(topUp).appliedNow);
  t.false(rows.apply(topUp).appliedNow);
  t.is(rows.readLeft(), 150);
});
