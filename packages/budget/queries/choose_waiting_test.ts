/** Tests of which waiting requests are served, refused or covered by a loan. */
import test from "ava";
import {
  chooseRequestToBorrowFor,
  listServable,
  listUnservable,
} from "../mod.ts";

const WAITERS = [{ tokens: 60 }, { tokens: 30 }, { tokens: 10 }];

test("a request that fits overtakes a larger one only while tokens are scarce", (t) => {
  const room = 45;
  t.deepEqual(listServable(WAITERS, { room, isScarce: false }), []);
  const overtaking = listServable(WAITERS, { room, isScarce: true });
  t.deepEqual(overtaking.map((each) => each.tokens), [30, 10]);
  const all = listServable(WAITERS, { room: 95, isScarce: false });
  t.deepEqual(all.map((each) => each.tokens), [60, 30]);
});

test("a loan is requested for the smallest waiting request", (t) => {
  t.is(chooseRequestToBorrowFor(WAITERS), WAITERS[2]);
  t.is(chooseRequestToBorrowFor([]), undefined);
});

test("a request cannot be served when no source of tokens covers its shortfall", (t) => {
  const none = { room: 5, reserved: 0, reservedAtPeer: 0, budgetLeft: 0 };
  t.is(listUnservable(WAITERS, none).length, 3);
  for (const source of ["reserved", "reservedAtPeer", "budgetLeft"]) {
    const left = listUnservable(WAITERS, { ...none, [source]: 25 });
    t.deepEqual(left.map((each) => each.tokens), [60]);
  }
});
