/** Tests of reserving, settling and planning exchanges on one account. */
import test from "ava";
import { BudgetPreference } from "../core/mod.ts";
import { MemoryRows } from "../stand_ins/mod.ts";
import {
  AccountSchedule,
  computeAccountRoom,
  computeNextDue,
  createEventAccount,
  createGrantExchange,
  type EventAccount,
  GRANT_SIZING,
  GRANT_TERM,
  planExchange,
  planGrants,
  planLastExchange,
  receiveExchange,
  receiveGrant,
  reserveTokens,
  settleReservation,
  shrinkGrant,
} from "./mod.ts";

const LEAN = BudgetPreference.FewerRefusals;

function createAccount(...sizes: number[]): EventAccount {
  return sizes.reduce(
    (account, size, index) =>
      receiveGrant(account, {
        grantId: `g${index}`,
        size,
        deadline: GRANT_TERM + index,
      }),
    createEventAccount("e"),
  );
}

function reserve(account: EventAccount, tokens: number, now = 0) {
  return reserveTokens(account, { tokens, now }).unsafeCoerce();
}

function createInput(now: number, need: number, budgetLeft?: number) {
  return {
    now,
    need,
    lean: LEAN,
    grantId: `vm/1/${now}`,
    holder: { vm: "vm", incarnation: "1" },
    initialLimit: 10_000,
    wallTime: now,
    ...(budgetLeft === undefined ? {} : { budgetLeft }),
  };
}

test("a request is covered by several grants when no single one has enough tokens", (t) => {
  const { account, reservation } = reserve(createAccount(40, 40, 40), 100);
  t.is(computeAccountRoom(account, 0), 20);
  const settled = settleReservation(account, {
    reservation,
    spent: 50,
    now: 1,
  });
  t.is(computeAccountRoom(settled, 1), 70);
  t.deepEqual(settled.grants.map((grant) => grant.spent), [40, 10, 0]);
});

test("a holder that was paused past the deadline reserves nothing more", (t) => {
  const account = createAccount(100);
  t.true(reserveTokens(account, { tokens: 1, now: GRANT_TERM - 1 }).isRight());
  t.true(reserveTokens(account, { tokens: 1, now: GRANT_TERM }).isLeft());
});

test("a request that is in progress at the deadline can still be settled", (t) => {
  const { account, reservation } = reserve(createAccount(100), 60);
  const late = { now: GRANT_TERM + 1 };
  t.deepEqual(planGrants(account, { ...late, lean: LEAN, need: 0 }).close, []);
  const settled = settleReservation(account, {
    reservation,
    ...late,
    spent: 5,
  });
  const plan = planGrants(settled, { ...late, lean: LEAN, need: 0 });
  t.deepEqual(plan.close.map((grant) => grant.spent), [5]);
});

test("unknown spending counts as the whole reservation", (t) => {
  const { account, reservation } = reserve(createAccount(100), 60);
  const settled = settleReservation(account, { reservation, now: 1 });
  t.is(computeAccountRoom(settled, 1), 40);
});

test("settling a reservation twice throws", (t) => {
  const { account, reservation } = reserve(createAccount(100), 60);
  const settled = settleReservation(account, { reservation, now: 1 });
  t.throws(() => settleReservation(settled, { reservation, now: 2 }), {
    message: /Settle each reservation once/,
  });
});

test("the size asked for follows the spending rate and the remaining budget", (t) => {
  let account = createAccount(60_000);
  for (let now = 0; now < 60_000; now += 100) {
    const held = reserve(account, 100, now);
    account = settleReservation(held.account, {
      reservation: held.reservation,
      spent: 100,
      now,
    });
  }
  const ask = (lean: BudgetPreference, budgetLeft: number) =>
    planGrants(account, { now: 60_000, lean, need: 2_500, budgetLeft })
      .take?.wanted ?? 0;
  const wide = ask(BudgetPreference.FewerRefusals, 100_000_000);
  const tight = ask(BudgetPreference.TighterBudget, 100_000_000);
  t.true(wide > 5 * tight);
  t.true(ask(BudgetPreference.FewerRefusals, 500_000) < wide / 5);
  t.is(ask(BudgetPreference.TighterBudget, 8_000), 2_500);
});

test("tokens being returned cannot be reserved", (t) => {
  const rows = new MemoryRows();
  let account = planExchange(createEventAccount("e"), createInput(0, 100));
  const result = rows.apply(createGrantExchange(account.exchange!));
  account = receiveExchange(account, { result, deadline: GRANT_TERM });
  t.is(computeAccountRoom(account, 0), 1_600);
  const later = GRANT_SIZING[LEAN].returnAfter;
  account = planExchange(account, createInput(later, 0, 8_400));
  t.is(computeAccountRoom(account, later), 0);
  const returned = rows.apply(createGrantExchange(account.exchange!));
  t.is(returned.budgetLeft, 10_000);
  t.is(rows.apply(createGrantExchange(account.exchange!)).budgetLeft, 10_000);
  account = receiveExchange(account, { result: returned, deadline: 0 });
  t.deepEqual(account.grants, []);
  t.is(computeNextDue(account, { now: later, lean: LEAN }), undefined);
});

test("a grant in use returns its unreserved tokens once", (t) => {
  const rows = new MemoryRows();
  let account = planExchange(createEventAccount("e"), createInput(0, 100));
  const result = rows.apply(createGrantExchange(account.exchange!));
  account = receiveExchange(account, { result, deadline: GRANT_TERM });
  account = reserve(account, 300).account;
  const later = 2 * GRANT_SIZING[LEAN].returnAfter;
  account = planExchange(account, {
    ...createInput(later, 0, 8_400),
    sizing: { ...GRANT_SIZING[LEAN], idleRequests: 0 },
  });
  t.is(account.exchange?.shrinks?.length, 1);
  const operation = createGrantExchange(account.exchange!);
  t.is(rows.apply(operation).budgetLeft, 9_700);
  t.is(rows.apply(operation).budgetLeft, 9_700);
});

test("an event with minutes between requests causes no write per request", (t) => {
  let account = receiveGrant(createEventAccount("e"), {
    grantId: "g0",
    size: 1_600,
    deadline: GRANT_TERM,
  });
  for (let now = 0; now < GRANT_TERM; now += 250_000) {
    const { exchange } = planExchange(account, createInput(now, 0, 100_000));
    t.is(exchange, undefined);
    const held = reserve(account, 100, now);
    const { reservation } = held;
    const settled = { reservation, spent: 25, now };
    account = settleReservation(held.account, settled);
  }
  account = planExchange(account, createInput(GRANT_TERM, 0, 100_000));
  t.is(account.exchange?.closes?.length, 1);
});

test("returning more tokens than are available throws", (t) => {
  const { account } = reserve(createAccount(100), 60);
  const change = { grantId: "g0", returned: 41, now: 0 };
  t.throws(() => shrinkGrant(account, change), { message: /room/ });
});

test("a grant that is still in use is replaced before it ends", (t) => {
  let account = createAccount(1_000);
  account = reserve(account, 10, GRANT_TERM / 2).account;
  t.is(planGrants(account, { now: 1, lean: LEAN, need: 0 }).take, undefined);
  const due = { now: GRANT_TERM / 2 + 1, lean: LEAN, need: 0 };
  const early = { now: GRANT_TERM / 2 - 1, lean: LEAN };
  t.is(computeNextDue(account, early), GRANT_TERM / 2);
  t.not(planGrants(account, due).take, undefined);
});

test("a planned stop returns unreserved tokens first and the rest after settlement", (t) => {
  const first = reserve(createAccount(100, 100), 50);
  let account = planLastExchange(first.account, createInput(1, 0));
  t.deepEqual(account.exchange?.closes?.map((each) => each.grantId), ["g1"]);
  t.true(reserveTokens(account, { tokens: 1, now: 1 }).isLeft());
  const result = {
    size: 0,
    budgetLeft: 0,
    limit: 0,
    closed: 0,
    holders: 0,
    otherHolders: [],
    otherTakes: [],
    othersRate: 0,
    standbySize: 0,
  };
  account = receiveExchange(account, { result, deadline: 0 });
  account = settleReservation(account, {
    reservation: first.reservation,
    spent: 20,
    now: 2,
  });
  account = planLastExchange(account, createInput(2, 0));
  t.deepEqual(account.exchange?.closes, [
    { grantId: "g0", spent: 20, loans: [] },
  ]);
});

test("the schedule returns due events once, earliest first, by their latest due time", (t) => {
  const schedule = new AccountSchedule();
  for (let index = 0; index < 5_000; index++) {
    schedule.change(`e${index % 50}`, (index * 7_919) % 1_000);
  }
  schedule.change("e0", undefined);
  schedule.change("e1", 2_000);
  const expected = new Map<string, number>();
  for (let index = 0; index < 5_000; index++) {
    expected.set(`e${index % 50}`, (index * 7_919) % 1_000);
  }
  const taken = schedule.takeDue(1_000, 100);
  t.is(taken.length, 48);
  t.deepEqual(
    taken.map((eventId) => expected.get(eventId)),
    [...taken].map((eventId) => expected.get(eventId)).sort((a, b) => a! - b!),
  );
  t.is(schedule.readNextDue(), 2_000);
  t.deepEqual(schedule.takeDue(1_999, 100), []);
  t.deepEqual(schedule.takeDue(2_000, 100), ["e1"]);
  t.is(schedule.size, 0);
});
