/** Tests of the operations on budget rows. */
import test from "ava";
import { MemoryRows } from "../../stand_ins/mod.ts";
import {
  computeBudgetLeft,
  createCloseGrant,
  createGrantExchange,
  createLowerLimit,
  createTakeGrant,
  createTopUp,
  parseBudgetRow,
} from "../mod.ts";

function readLeft(rows: MemoryRows): number {
  return parseBudgetRow(rows.peek("budget/e") ?? null).map(computeBudgetLeft)
    .unsafeCoerce();
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

test("a grant whose operation is decided again is granted once", (t) => {
  const rows = new MemoryRows();
  t.deepEqual(rows.apply(takeGrant("g1", 60)), {
    size: 60,
    budgetLeft: 40,
    limit: 100,
    closed: 0,
    holders: 1,
    otherHolders: [],
    otherTakes: [],
    othersRate: 0,
    standbySize: 0,
  });
  t.deepEqual(rows.apply(takeGrant("g1", 60)), {
    size: 60,
    budgetLeft: 40,
    limit: 100,
    closed: 0,
    holders: 1,
    otherHolders: [],
    otherTakes: [],
    othersRate: 0,
    standbySize: 0,
  });
  t.is(readLeft(rows), 40);
});

function growGrant(exchangeId: string, wanted: number) {
  return createGrantExchange({
    eventId: "e",
    id: exchangeId,
    initialLimit: 100,
    take: {
      grantId: exchangeId,
      into: "g1",
      holder: { vm: "vm-1", incarnation: "1" },
      wanted,
      least: 1,
      wallTime: 0,
    },
  });
}

test("tokens that are added to an open grant are added once, within the limit", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  const expected = { size: 30, grownGrantId: "g1", budgetLeft: 10 };
  t.like(rows.apply(growGrant("x1", 30)), expected);
  t.like(rows.apply(growGrant("x1", 30)), expected);
  t.like(rows.apply(growGrant("x2", 30)), { size: 10, budgetLeft: 0 });
  t.is(rows.apply(growGrant("x3", 30)).size, 0);
  const row = parseBudgetRow(rows.peek("budget/e") ?? null).unsafeCoerce();
  t.is(row.grants["g1"]?.size, 100);
});

test("an exchange that shrinks a grant and adds tokens to it takes effect once", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  const exchange = createGrantExchange({
    eventId: "e",
    id: "x1",
    initialLimit: 100,
    shrinks: [{ grantId: "g1", size: 50 }],
    take: {
      grantId: "x1",
      into: "g1",
      holder: { vm: "vm-1", incarnation: "1" },
      wanted: 20,
      least: 1,
      wallTime: 0,
    },
  });
  t.is(rows.apply(exchange).size, 20);
  t.is(rows.apply(exchange).size, 20);
  const row = parseBudgetRow(rows.peek("budget/e") ?? null).unsafeCoerce();
  t.is(row.grants["g1"]?.size, 70);
});

test("what other VMs have spent of open grants counts as closed, and only rises", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  const report = (vm: string, spent: number) =>
    rows.apply(createGrantExchange({
      eventId: "e",
      id: `x/${vm}/${spent}`,
      initialLimit: 100,
      rate: { vm, rate: spent },
      take: {
        grantId: `g/${vm}/${spent}`,
        holder: { vm, incarnation: "1" },
        wanted: 1,
        least: 1,
        wallTime: 0,
      },
      spent: [{ grantId: "g1", spent }],
    }));
  t.is(report("vm-1", 25).closed, 0);
  t.is(report("vm-1", 20).closed, 0);
  t.is(report("vm-2", 0).closed, 25);
  t.is(readLeft(rows), 37);
});

test("tokens for a grant that the row no longer has become a new grant", (t) => {
  const rows = new MemoryRows();
  const { size, grownGrantId } = rows.apply(growGrant("x1", 30));
  t.is(size, 30);
  t.is(grownGrantId, undefined);
  t.is(rows.apply(growGrant("x1", 30)).size, 30);
  t.is(readLeft(rows), 70);
});

test("grants never exceed the limit", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  t.is(rows.apply(takeGrant("g2", 60)).size, 40);
  t.is(rows.apply(takeGrant("g3", 60)).size, 0);
});

test("closing a grant twice returns its unspent tokens once", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  const close = createCloseGrant({
    eventId: "e",
    grantId: "g1",
    spent: 10,
    loans: [],
    initialLimit: 100,
  });
  t.true(rows.apply(close).closedNow);
  t.false(rows.apply(close).closedNow);
  t.is(readLeft(rows), 90);
});

test("a top-up id raises the limit once", (t) => {
  const rows = new MemoryRows();
  const topUp = createTopUp({
    eventId: "e",
    topUpId: "t1",
    tokens: 50,
    initialLimit: 100,
    wallTime: 0,
  });
  t.true(rows.apply(topUp).appliedNow);
  t.false(rows.apply(topUp).appliedNow);
  t.is(readLeft(rows), 150);
});

test("a top-up id that is repeated with another amount is reported", (t) => {
  const rows = new MemoryRows();
  const topUp = { eventId: "e", topUpId: "t1", initialLimit: 100, wallTime: 0 };
  rows.apply(createTopUp({ ...topUp, tokens: 50 }));
  const repeat = rows.apply(createTopUp({ ...topUp, tokens: 70 }));
  t.deepEqual(repeat, { limit: 150, appliedNow: false, appliedTokens: 50 });
});

test("lowering stops at the granted tokens and continues when grants are returned", (t) => {
  const rows = new MemoryRows();
  rows.apply(takeGrant("g1", 60));
  const lower = createLowerLimit({
    eventId: "e",
    lowerId: "l1",
    tokens: 70,
    initialLimit: 100,
    wallTime: 0,
  });
  const first = { limit: 60, lowered: 40, remaining: 30 };
  t.deepEqual(rows.apply(lower), first);
  t.deepEqual(rows.apply(lower), first);
  rows.apply(createCloseGrant({
    eventId: "e",
    grantId: "g1",
    spent: 10,
    loans: [],
    initialLimit: 100,
  }));
  t.deepEqual(rows.apply(lower), { limit: 30, lowered: 70, remaining: 0 });
  t.deepEqual(rows.apply(lower), { limit: 30, lowered: 70, remaining: 0 });
});

test("a repeated top-up and a lowering give the same limit in any order", (t) => {
  const raise = createTopUp({
    eventId: "e",
    topUpId: "t1",
    tokens: 50,
    initialLimit: 100,
    wallTime: 0,
  });
  const lower = createLowerLimit({
    eventId: "e",
    lowerId: "l1",
    tokens: 30,
    initialLimit: 100,
    wallTime: 0,
  });
  for (const order of [[raise, lower, raise], [lower, raise, lower, raise]]) {
    const rows = new MemoryRows();
    for (const operation of order) rows.apply<unknown>(operation);
    t.is(readLeft(rows), 120);
  }
});
