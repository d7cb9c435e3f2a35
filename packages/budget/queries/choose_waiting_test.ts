/** Tests of the order in which waiting requests are served and refused. */
import test from "ava";
import {
  chooseRequestToBorrowFor,
  listServable,
  listUnservable,
} from "../mod.ts";

const WAITERS = [{ tokens: 60 }, { tokens: 30 }, { tokens: 10 }];

test("a request that fits passes a larger one only while tokens are scarce", (t) => {
  const room = 45;
  t.deepEqual(listServable(WAITERS, { room, isScarce: false }), []);
  const passed = listServable(WAITERS, { room, isScarce: true });
  t.deepEqual(passed.map((each) => each.tokens), [30, 10]);
  const all = listServable(WAITERS, { room: 95, isScarce: false });
  t.deepEqual(all.map((each) => each.tokens), [60, 30]);
});

test("loans are asked for the smallest request", (t) => {
  t.is(chooseRequestToBorrowFor(WAITERS), WAITERS[2]);
  t.is(chooseRequestToBorrowFor([]), undefined);
});

test("a request is hopeless when nothing that comes free covers its lack", (t) => {
  const none = { room: 5, reserved: 0, reservedAtPeer: 0, budgetLeft: 0 };
  t.is(listUnservable(WAITERS, none).length, 3);
  for (const source of ["reserved", "reservedAtPeer", "budgetLeft"]) {
    const left = listUnservable(WAITERS, { ...none, [source]: 25 });
    t.deepEqual(left.map((each) => each.tokens), [60]);
  }
});
