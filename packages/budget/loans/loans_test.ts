/** Tests of loans with lost, duplicate and late messages and with lost VMs. */
import test from "ava";
import { BudgetPreference } from "../../core/mod.ts";
import { MemoryRows } from "../../stand_ins/mod.ts";
import {
  computeAccountRoom,
  computeBudgetLeft,
  createEventAccount,
  createGrantExchange,
  createTakeGrant,
  createWriteOff,
  type EventAccount,
  GRANT_TERM,
  lendTokens,
  listSettledLoans,
  type LoanRequest,
  LossEvidenceKind,
  MAX_LOANS_PER_GRANT,
  parseBudgetRow,
  planLastExchange,
  planLoans,
  receiveExchange,
  receiveGrant,
  receiveLoan,
  recordLoanRequest,
  releaseLoans,
  removeReportedLoans,
  reserveTokens,
  settleLoans,
  settleReservation,
} from "../mod.ts";

const REQUEST: LoanRequest = {
  transferId: "b/1/1",
  wanted: 30,
  least: 30,
  borrower: { vm: "b", incarnation: "1" },
};

const ALL_LOANS = { keep: 0, isReachable: () => true };

function createLender(rows: MemoryRows): EventAccount {
  const { size } = rows.apply(createTakeGrant({
    eventId: "e",
    grantId: "a/1/1",
    vm: "a",
    incarnation: "1",
    wanted: 100,
    least: 1,
    initialLimit: 100,
    wallTime: 0,
  }));
  return receiveGrant(createEventAccount("e"), {
    grantId: "a/1/1",
    size,
    deadline: GRANT_TERM,
  });
}

function createBorrower(): EventAccount {
  return recordLoanRequest(createEventAccount("e"), {
    transferId: "b/1/1",
    lender: "a",
    wanted: 30,
    askedAt: 0,
  });
}

function readRow(rows: MemoryRows) {
  return parseBudgetRow(rows.peek("budget/e") ?? null).unsafeCoerce();
}

function readLeft(rows: MemoryRows): number {
  return computeBudgetLeft(readRow(rows));
}

function spend(account: EventAccount, tokens: number): EventAccount {
  const held = reserveTokens(account, { tokens, now: 0 }).unsafeCoerce();
  const { reservation } = held;
  return settleReservation(held.account, { reservation, now: 0 });
}

/**
 * Closes all grants of an account. The operation is applied twice, as it is
 * after a lost answer.
 */
function closeAll(rows: MemoryRows, account: EventAccount, vm: string) {
  const planned = planLastExchange(account, {
    now: 1,
    need: 0,
    lean: BudgetPreference.FewerRefusals,
    grantId: `${vm}/1/end`,
    holder: { vm, incarnation: "1" },
    initialLimit: 100,
    wallTime: 1,
  });
  if (planned.exchange === undefined) return planned;
  const operation = createGrantExchange(planned.exchange);
  rows.apply(operation);
  const result = rows.apply(operation);
  return receiveExchange(planned, { result, deadline: 0 });
}

function lend(lender: EventAccount, request = REQUEST) {
  return lendTokens(lender, { request, now: 0, keep: 0 });
}

test("a duplicate request debits once and a duplicate answer credits once", (t) => {
  const rows = new MemoryRows();
  const first = lend(createLender(rows));
  const second = lend(first.account);
  t.deepEqual(second.answer, first.answer);
  t.is(computeAccountRoom(second.account, 0), 70);
  const { answer } = first;
  const once = receiveLoan(createBorrower(), { answer, deadline: 10 });
  const twice = receiveLoan(once, { answer, deadline: 10 });
  t.is(computeAccountRoom(twice, 0), 30);
});

test("an answer that arrives after the loan was returned credits nothing", (t) => {
  const rows = new MemoryRows();
  const { answer } = lend(createLender(rows));
  let borrower = receiveLoan(createBorrower(), { answer, deadline: 10 });
  borrower = closeAll(rows, borrower, "b");
  t.deepEqual(borrower.grants, []);
  borrower = receiveLoan(borrower, { answer, deadline: 10 });
  t.is(computeAccountRoom(borrower, 0), 0);
  t.is(readLeft(rows), 30);
});

test("a lost answer leaves the tokens unused and duplicates none", (t) => {
  const rows = new MemoryRows();
  const lender = lend(createLender(rows)).account;
  closeAll(rows, lender, "a");
  t.is(readLeft(rows), 70);
});

for (const order of ["borrower first", "lender first"]) {
  test(`unspent tokens of a loan are returned once, ${order}`, (t) => {
    const rows = new MemoryRows();
    const { account, answer } = lend(createLender(rows));
    const lender = spend(account, 20);
    const borrower = spend(
      receiveLoan(createBorrower(), { answer, deadline: 10 }),
      10,
    );
    if (order === "lender first") closeAll(rows, lender, "a");
    closeAll(rows, borrower, "b");
    if (order === "borrower first") closeAll(rows, lender, "a");
    t.is(readLeft(rows), 70);
    t.deepEqual(readRow(rows).loans ?? {}, {});
  });
}

for (const order of ["abc", "acb", "bac", "bca", "cab", "cba"]) {
  test(`a re-lent part is returned once if the accounts close in the order ${order}`, (t) => {
    const rows = new MemoryRows();
    const first = lend(createLender(rows));
    let middle = receiveLoan(createBorrower(), {
      answer: first.answer,
      deadline: 10,
    });
    const second = lendTokens(middle, {
      request: {
        transferId: "c/1/1",
        wanted: 12,
        least: 12,
        borrower: { vm: "c", incarnation: "1" },
      },
      now: 0,
      keep: 0,
    });
    t.is(second.answer.tokens, 12);
    middle = spend(second.account, 10);
    const asked = recordLoanRequest(createEventAccount("e"), {
      transferId: "c/1/1",
      lender: "b",
      wanted: 12,
      askedAt: 0,
    });
    const { answer } = second;
    const last = spend(receiveLoan(asked, { answer, deadline: 10 }), 5);
    const accounts: Record<string, EventAccount> = {
      a: spend(first.account, 20),
      b: middle,
      c: last,
    };
    for (const vm of order) closeAll(rows, accounts[vm]!, vm);
    t.is(readLeft(rows), 65);
  });
}

test("after the lender was written off, the loan and the lender's unspent tokens are returned", (t) => {
  const rows = new MemoryRows();
  const { account, answer } = lend(createLender(rows));
  const borrower = receiveLoan(createBorrower(), { answer, deadline: 10 });
  const writeOff = createWriteOff({
    eventId: "e",
    evidence: {
      kind: LossEvidenceKind.LaterIncarnation,
      vm: "a",
      incarnation: "2",
    },
    initialLimit: 100,
    wallTime: 5,
  }).unsafeCoerce();
  t.deepEqual(rows.apply(writeOff), { tokens: 100, total: 100 });
  t.deepEqual(rows.apply(writeOff), { tokens: 0, total: 100 });
  closeAll(rows, spend(borrower, 10), "b");
  t.is(readLeft(rows), 20);
  // The lender was only paused: it resumes and closes its grant.
  closeAll(rows, spend(account, 5), "a");
  t.is(readLeft(rows), 85);
  t.is(readRow(rows).writtenOff, 0);
});

test("a lost borrower's loan is written off, and returned if the borrower was only paused", (t) => {
  const rows = new MemoryRows();
  const { account, answer } = lend(createLender(rows));
  closeAll(rows, account, "a");
  const writeOff = createWriteOff({
    eventId: "e",
    evidence: {
      kind: LossEvidenceKind.Unlisted,
      vm: "b",
      incarnation: "1",
      unlistedFor: 11,
      required: 10,
    },
    initialLimit: 100,
    wallTime: 5,
  }).unsafeCoerce();
  t.deepEqual(rows.apply(writeOff), { tokens: 30, total: 30 });
  t.deepEqual(rows.apply(writeOff), { tokens: 0, total: 30 });
  t.is(readLeft(rows), 70);
  const borrower = receiveLoan(createBorrower(), { answer, deadline: 10 });
  closeAll(rows, spend(borrower, 10), "b");
  t.is(readLeft(rows), 90);
  t.is(readRow(rows).writtenOff, 0);
});

test("a request that is repeated after the lender closed its grant gets no second loan", (t) => {
  const rows = new MemoryRows();
  const { account, answer } = lend(createLender(rows));
  let lender = closeAll(rows, account, "a");
  lender = receiveGrant(lender, {
    grantId: "a/1/2",
    size: 70,
    deadline: GRANT_TERM,
  });
  const repeated = lend(lender);
  t.deepEqual(repeated.answer, answer);
  t.is(computeAccountRoom(repeated.account, 0), 70);
});

test("a lender keeps the tokens that its own requests wait for and limits the loans per grant", (t) => {
  let lender = createLender(new MemoryRows());
  const kept = lendTokens(lender, { request: REQUEST, now: 0, keep: 90 });
  t.is(kept.answer.tokens, 10);
  lender = receiveGrant(createEventAccount("e"), {
    grantId: "a/1/1",
    size: 2 * MAX_LOANS_PER_GRANT,
    deadline: GRANT_TERM,
  });
  for (let number = 0; number <= MAX_LOANS_PER_GRANT; number++) {
    const request = { ...REQUEST, transferId: `b/1/${number}`, wanted: 1 };
    lender = lend(lender, { ...request, least: 1 }).account;
  }
  t.is(lender.grants[0]?.loans.length, MAX_LOANS_PER_GRANT);
});

test("a loan is made from several grants, with one part of each", (t) => {
  const rows = new MemoryRows();
  let lender = createLender(rows);
  lender = receiveGrant(spend(lender, 80), {
    grantId: "a/1/2",
    size: 20,
    deadline: GRANT_TERM,
  });
  const { answer } = lend(lender);
  t.is(answer.tokens, 30);
  t.deepEqual(answer.parts.map((part) => part.tokens), [20, 10]);
  const borrower = receiveLoan(createBorrower(), { answer, deadline: 10 });
  t.is(computeAccountRoom(borrower, 0), 30);
});

test("of two VMs with a shortfall, the one with the smaller shortfall gets the tokens", (t) => {
  const lender = createLender(new MemoryRows());
  const lendTo = (least: number, shortBy: number) => {
    const request = { ...REQUEST, wanted: least, least };
    const input = { request, now: 0, keep: 100 };
    return lendTokens(lender, { ...input, shortBy }).answer.tokens;
  };
  t.is(lendTo(30, 40), 30);
  t.is(lendTo(40, 30), 0);
  t.is(lendTo(101, 200), 0);
});

test("a lender whose shortfall the borrower cannot cover lends what covers the borrower's", (t) => {
  const lender = createLender(new MemoryRows());
  const lendTo = (room: number) => {
    const request = { ...REQUEST, wanted: 40, least: 40, room };
    const input = { request, now: 0, keep: 100, shortBy: 30 };
    return lendTokens(lender, input).answer.tokens;
  };
  t.is(lendTo(29), 40);
  t.is(lendTo(30), 0);
});

test("a loan request without an answer is sent again under its transfer id", (t) => {
  const input = { missing: 10, target: 50, peers: ["a", "c"] };
  const early = planLoans(createBorrower(), { ...input, now: 100 });
  t.deepEqual(early.resend, []);
  t.deepEqual(early.ask, [{ lender: "c", wanted: 50 }]);
  const late = planLoans(createBorrower(), { ...input, now: 1_000 });
  t.deepEqual(late.resend.map((loan) => loan.transferId), ["b/1/1"]);
});

test("a fully spent loan is reported to its lender and counted as spent", (t) => {
  const request = {
    transferId: "t1",
    wanted: 40,
    least: 40,
    borrower: { vm: "b", incarnation: "1" },
  };
  const held = receiveGrant(createEventAccount("e"), {
    grantId: "a/1/1",
    size: 100,
    deadline: 1e9,
  });
  const lent = lendTokens(held, { request, now: 0, keep: 0 });
  const asked = recordLoanRequest(createEventAccount("e"), {
    transferId: "t1",
    lender: "a",
    wanted: 40,
    askedAt: 0,
  });
  const credited = receiveLoan(asked, { answer: lent.answer, deadline: 1e9 });
  const reserved = reserveTokens(credited, { tokens: 40, now: 0 })
    .unsafeCoerce();
  const spent = settleReservation(reserved.account, {
    reservation: reserved.reservation,
    spent: 40,
    now: 0,
  });
  t.deepEqual(listSettledLoans(spent, "b"), []);
  const reported = listSettledLoans(spent, "a");
  t.is(reported.length, 1);
  const reportedIds = reported.map((loan) => loan.transferId);
  t.deepEqual(removeReportedLoans(spent, reportedIds).settledLoans, []);
  const settled = settleLoans(lent.account, reported);
  t.like(settled.grants[0], { spent: 40, loans: [] });
  // Reporting a loan twice, or an unknown one, changes nothing.
  const unknown = { ...reported[0]!, transferId: "t9/0" };
  t.deepEqual(settleLoans(settled, [...reported, unknown]), settled);
});

test("a loan that is given back is available to its lender once and leaves nothing in the row", (t) => {
  const rows = new MemoryRows();
  const lender = createLender(rows);
  const lent = lendTokens(lender, { request: REQUEST, now: 0, keep: 0 });
  const credited = receiveLoan(createBorrower(), {
    answer: lent.answer,
    deadline: GRANT_TERM,
  });
  const idle = releaseLoans(spend(credited, 10), ALL_LOANS);
  t.deepEqual(idle.grants, []);
  const reported = listSettledLoans(idle, "a");
  t.deepEqual(reported.map((loan) => loan.unspent), [20]);
  const settled = settleLoans(lent.account, reported);
  t.is(computeAccountRoom(settled, 0), 90);
  t.deepEqual(settleLoans(settled, reported), settled);
  const closing = planLastExchange(settled, {
    now: 0,
    wallTime: 0,
    lean: BudgetPreference.TighterBudget,
    need: 0,
    grantId: "a/1/2",
    holder: { vm: "a", incarnation: "1" },
    initialLimit: 100,
  });
  rows.apply(createGrantExchange(closing.exchange!));
  t.is(readLeft(rows), 90);
  t.deepEqual(readRow(rows).loans ?? {}, {});
});

for (const order of ["bc", "cb"]) {
  test(`a loan that was lent on in part is given back by its parts, in the order ${order}`, (t) => {
    const lent = lend(createLender(new MemoryRows()));
    const borrower = receiveLoan(createBorrower(), {
      answer: lent.answer,
      deadline: GRANT_TERM,
    });
    const relent = lend(borrower, {
      transferId: "c/1/1",
      wanted: 12,
      least: 12,
      borrower: { vm: "c", incarnation: "1" },
    });
    const asked = recordLoanRequest(createEventAccount("e"), {
      transferId: "c/1/1",
      lender: "b",
      wanted: 12,
      askedAt: 0,
    });
    const last = receiveLoan(asked, {
      answer: relent.answer,
      deadline: GRANT_TERM,
    });
    const holders: Record<string, EventAccount> = {
      b: spend(relent.account, 10),
      c: spend(last, 5),
    };
    let lender = lent.account;
    for (const vm of order) {
      const idle = releaseLoans(holders[vm]!, ALL_LOANS);
      t.deepEqual(idle.grants, []);
      const reported = listSettledLoans(idle, "a");
      lender = settleLoans(lender, [...reported, ...reported]);
    }
    t.is(computeAccountRoom(lender, 0), 85);
    t.like(lender.grants[0], { spent: 15, loans: [] });
  });
}

test("a loan with a request in progress is not given back", (t) => {
  const rows = new MemoryRows();
  const lent = lendTokens(createLender(rows), {
    request: REQUEST,
    now: 0,
    keep: 0,
  });
  const credited = receiveLoan(createBorrower(), {
    answer: lent.answer,
    deadline: GRANT_TERM,
  });
  const reserved = reserveTokens(credited, { tokens: 10, now: 0 })
    .unsafeCoerce().account;
  t.is(releaseLoans(reserved, ALL_LOANS), reserved);
});

test("loans stay with their borrower while their lender is unreachable or they are needed", (t) => {
  const lent = lendTokens(createLender(new MemoryRows()), {
    request: REQUEST,
    now: 0,
    keep: 0,
  });
  const credited = receiveLoan(createBorrower(), {
    answer: lent.answer,
    deadline: GRANT_TERM,
  });
  const unreachable = { keep: 0, isReachable: () => false };
  t.is(releaseLoans(credited, unreachable), credited);
  t.is(releaseLoans(credited, { ...ALL_LOANS, keep: 1 }), credited);
});

test("a VM that may not lend on what it has borrowed lends nothing and can give it back", (t) => {
  const lender = createLender(new MemoryRows());
  const lent = lendTokens(lender, { request: REQUEST, now: 0, keep: 0 });
  const pending = recordLoanRequest(createEventAccount("e"), {
    transferId: REQUEST.transferId,
    lender: "a",
    wanted: 30,
    askedAt: 0,
  });
  const borrower = receiveLoan(pending, {
    answer: lent.answer,
    deadline: GRANT_TERM,
  });
  const asked = lendTokens(borrower, {
    request: {
      ...REQUEST,
      transferId: "c/1/1",
      borrower: { vm: "c", incarnation: "1" },
    },
    now: 0,
    keep: 0,
    mayRelend: false,
  });
  t.is(asked.answer.tokens, 0);
  const returned = releaseLoans(asked.account, ALL_LOANS);
  t.deepEqual(returned.grants, []);
  t.is(listSettledLoans(returned, "a").length, 1);
});
