/**
 * Model of loans between two VMs during a top-up. A is partitioned from the
 * store and borrows from B, which takes a grant of the added tokens.
 *
 * Messages between VMs are never removed from the network, so that each may
 * arrive late, any number of times or never. Either VM may crash, and B's grant
 * may be written off while B is only paused. Writes of the budget row are
 * atomic here, but their answers may be lost; the grants model covers their
 * races.
 */
import type { GrantEntry, Lender, Loan, LoanRow } from "./loan_row.ts";
import {
  changeAt,
  closeEntry,
  computeCount,
  computeOpen,
  GrantStatus,
  LOAN,
  receiveReturn,
} from "./loan_row.ts";
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** Number of tokens that the top-up adds to an empty budget. */
const TOP_UP = 2;

/** Maximum number of incarnations of each VM; each crash starts a new one. */
const INCARNATIONS = 3;

/** Maximum number of crashes of both VMs together. */
const MAX_CRASHES = 2;

/** State of the present incarnation of borrower A. */
interface Borrower {
  readonly incarnation: number;
  /** Whether this incarnation asked for a loan that is not credited yet. */
  readonly pending: boolean;
  readonly loans: readonly Loan[];
}

/** A state of the loans model. */
export interface LoansState {
  readonly row: LoanRow;
  readonly lender: Lender;
  readonly borrower: Borrower;
  /**
   * Partition of A from the store: `0` not started, `1` in progress, `2` over.
   */
  readonly partition: "0" | "1" | "2";
  /** By A's incarnation: whether its request for a loan is on the network. */
  readonly requests: readonly boolean[];
  /** By B's and A's incarnation: whether B's answer is on the network. */
  readonly answers: readonly (readonly boolean[])[];
  /**
   * By B's and A's incarnation: the unspent tokens that A reports when it gives
   * its loan back to B, once the report is on the network.
   */
  readonly reports: readonly (readonly (number | undefined)[])[];
  /** Number of crashes of both VMs together. */
  readonly crashes: number;
  /** Tokens that both VMs have spent. */
  readonly spent: number;
  /** Tokens that were paid for. */
  readonly paid: number;
}

type LoansStep = Step<LoansState>;

const NONE: readonly boolean[] = Array<boolean>(INCARNATIONS).fill(false);

const NO_REPORTS: readonly undefined[] = Array<undefined>(INCARNATIONS).fill(
  undefined,
);

/** Returns the tokens of the lender's grant that are neither spent nor lent. */
function computeAvailable(
  lender: Lender,
  entry: GrantEntry | undefined,
): number {
  if (!lender.holdsGrant || lender.closing || entry === undefined) return 0;
  return TOP_UP - lender.spent - computeCount(lender.lent) * LOAN;
}

function changeRow(state: LoansState, change: Partial<LoanRow>): LoansState {
  return { ...state, row: { ...state.row, ...change } };
}

function changeLender(state: LoansState, change: Partial<Lender>): LoansState {
  return { ...state, lender: { ...state.lender, ...change } };
}

function changeBorrower(
  state: LoansState,
  change: Partial<Borrower>,
): LoansState {
  return { ...state, borrower: { ...state.borrower, ...change } };
}

function listStoreSteps(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { row, lender, partition } = state;
  const steps: LoansStep[] = [];
  if (row.limit === 0) {
    const next = { ...changeRow(state, { limit: TOP_UP }), paid: TOP_UP };
    steps.push({ label: "top-up committed", next });
  }
  if (partition === "0") {
    steps.push({
      label: "A partitioned from the store",
      next: { ...state, partition: "1" },
    });
  }
  if (partition === "1") {
    steps.push({
      label: "A reaches the store",
      next: { ...state, partition: "2" },
    });
  }
  const entry = row.entries[lender.incarnation]!;
  const left = row.limit - row.closed - computeOpen(row);
  if (entry.status === GrantStatus.None && left >= TOP_UP) {
    const taken = { ...entry, status: GrantStatus.Open, size: TOP_UP };
    const entries = changeAt(row.entries, lender.incarnation, taken);
    const next = changeLender(changeRow(state, { entries }), {
      holdsGrant: true,
    });
    steps.push({ label: "B takes a grant", next });
  }
  return [...steps, ...listCloses(state, isOn), ...listWriteOffs(state)];
}

function listCloses(state: LoansState, isOn: GuardCheck): LoansStep[] {
  if (!state.lender.holdsGrant) return [];
  const marked = changeLender(state, { closing: true });
  const row = closeEntry(state.row, state.lender, isOn);
  const closed = { ...marked, row };
  return [
    {
      label: "B close committed",
      next: changeLender(closed, { holdsGrant: false, closing: false }),
    },
    { label: "B close committed, answer lost", next: closed },
    { label: "B close not done", next: marked },
  ];
}

function listWriteOffs(state: LoansState): LoansStep[] {
  const { row } = state;
  return row.entries.flatMap((entry, incarnation) => {
    if (entry.status !== GrantStatus.Open) return [];
    const status = GrantStatus.WrittenOff;
    const entries = changeAt(row.entries, incarnation, { ...entry, status });
    const closed = row.closed + entry.size;
    const next = changeRow(state, { entries, closed });
    return [{
      label: `grant of B's incarnation ${incarnation + 1} written off`,
      next,
    }];
  });
}

function listLenderSteps(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { lender, row } = state;
  const available = computeAvailable(lender, row.entries[lender.incarnation]);
  const steps: LoansStep[] = [];
  if (available >= 1) {
    const spent = lender.spent + 1;
    const next = changeLender({ ...state, spent: state.spent + 1 }, { spent });
    steps.push({ label: "B spends 1", next });
  }
  state.requests.forEach((isRequested, id) => {
    if (
      !isRequested || lender.lent[id] || lender.undebited[id] ||
      available < LOAN
    ) return;
    const label = `B lends to A's incarnation ${id + 1}`;
    steps.push({ label, next: sendLoan(state, id, isOn) });
  });
  lender.undebited.forEach((isUndebited, id) => {
    if (!isUndebited || available < LOAN) return;
    const next = changeLender(state, {
      undebited: changeAt(lender.undebited, id, false),
      lent: changeAt(lender.lent, id, true),
    });
    steps.push({
      label: `B debits the loan to A's incarnation ${id + 1}`,
      next,
    });
  });
  return [...steps, ...listSettlements(state)];
}

/** Reports that arrive at B, including late and duplicate ones. */
function listSettlements(state: LoansState): LoansStep[] {
  const { lender, reports } = state;
  if (!lender.holdsGrant || lender.closing) return [];
  return reports[lender.incarnation]!.flatMap((unspent, id) => {
    if (unspent === undefined || !lender.lent[id]) return [];
    const next = changeLender(state, {
      spent: lender.spent + LOAN - unspent,
      lent: changeAt(lender.lent, id, false),
    });
    return [{ label: `B ends the loan to A's incarnation ${id + 1}`, next }];
  });
}

function sendLoan(state: LoansState, id: number, isOn: GuardCheck): LoansState {
  const { lender, answers } = state;
  const own = changeAt(answers[lender.incarnation]!, id, true);
  const sent = {
    ...state,
    answers: changeAt(answers, lender.incarnation, own),
  };
  return isOn(Guard.DebitBeforeSend)
    ? changeLender(sent, { lent: changeAt(lender.lent, id, true) })
    : changeLender(sent, { undebited: changeAt(lender.undebited, id, true) });
}

function listBorrowerSteps(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { borrower, requests } = state;
  const steps: LoansStep[] = [];
  if (!requests[borrower.incarnation]) {
    const next = {
      ...changeBorrower(state, { pending: true }),
      requests: changeAt(requests, borrower.incarnation, true),
    };
    steps.push({ label: "A asks for a loan", next });
  }
  borrower.loans.forEach((loan, index) => {
    if (loan.spent < LOAN && !loan.returning) {
      const spent = { ...loan, spent: loan.spent + 1 };
      const loans = changeAt(borrower.loans, index, spent);
      const next = changeBorrower(state, { loans });
      const label = `A spends 1 of loan ${index + 1}`;
      steps.push({ label, next: { ...next, spent: state.spent + 1 } });
    }
  });
  return [
    ...steps,
    ...listCredits(state, isOn),
    ...listReturns(state, isOn),
    ...listGiveBacks(state, isOn),
  ];
}

function listGiveBacks(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { borrower, reports } = state;
  return borrower.loans.flatMap((loan, index) => {
    if (loan.returning) return [];
    const { id, lenderIncarnation, spent } = loan;
    const own = changeAt(reports[lenderIncarnation]!, id, LOAN - spent);
    const sent = {
      ...state,
      reports: changeAt(reports, lenderIncarnation, own),
    };
    const loans = isOn(Guard.LoanGivenToOne)
      ? borrower.loans.filter((each) => each !== loan)
      : changeAt(borrower.loans, index, { ...loan, returning: true });
    const label = `A gives loan ${index + 1} back to B`;
    return [{ label, next: changeBorrower(sent, { loans }) }];
  });
}

/** Answers that arrive at A, including late and duplicate ones. */
function listCredits(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { borrower } = state;
  // More loans than incarnations are only possible with a guard switched off.
  // The bound keeps the state space finite.
  if (borrower.loans.length > INCARNATIONS) return [];
  return state.answers.flatMap((answers, lenderIncarnation) =>
    answers.flatMap((sent, id) => {
      if (!sent || !isCredited(state, id, isOn)) return [];
      const loan = { id, lenderIncarnation, spent: 0, returning: false };
      const next = changeBorrower(state, {
        loans: [...borrower.loans, loan],
        pending: false,
      });
      const label = `A credits B's answer to its incarnation ${id + 1}`;
      return [{ label, next }];
    })
  );
}

function isCredited(state: LoansState, id: number, isOn: GuardCheck): boolean {
  const { borrower } = state;
  if (id !== borrower.incarnation) return !isOn(Guard.TransferNamesIncarnation);
  return borrower.pending || !isOn(Guard.CreditOncePerId);
}

function listReturns(state: LoansState, isOn: GuardCheck): LoansStep[] {
  const { borrower, partition } = state;
  if (partition === "1") return [];
  return borrower.loans.flatMap((loan, index) => {
    if (loan.spent >= LOAN) return [];
    const kept = changeAt(borrower.loans, index, { ...loan, returning: true });
    const marked = changeBorrower(state, { loans: kept });
    const row = receiveReturn(state.row, loan, isOn);
    const done = { ...marked, row };
    const loans = borrower.loans.filter((each) => each !== loan);
    const name = `A returns loan ${index + 1}`;
    return [
      { label: `${name}: committed`, next: changeBorrower(done, { loans }) },
      { label: `${name}: committed, answer lost`, next: done },
      { label: `${name}: not done`, next: marked },
    ];
  });
}

function listCrashes(state: LoansState): LoansStep[] {
  if (state.crashes >= MAX_CRASHES) return [];
  const crashed = { ...state, crashes: state.crashes + 1 };
  const { lender, borrower } = state;
  return [
    {
      label: "A crash",
      next: changeBorrower(crashed, {
        incarnation: borrower.incarnation + 1,
        pending: false,
        loans: [],
      }),
    },
    {
      label: "B crash",
      next: { ...crashed, lender: createLender(lender.incarnation + 1) },
    },
  ];
}

function createLender(incarnation: number): Lender {
  return {
    incarnation,
    holdsGrant: false,
    spent: 0,
    lent: NONE,
    undebited: NONE,
    closing: false,
  };
}

/**
 * Returns whether the tokens that were spent or are in a VM's memory are
 * covered by the grants that the budget row counts as open or closed.
 */
function isConserved(state: LoansState): boolean {
  const { row, lender, borrower, spent } = state;
  const open = computeOpen(row);
  const held = borrower.loans
    .filter((loan) => !loan.returning)
    .reduce((sum, loan) => sum + LOAN - loan.spent, 0);
  const available = computeAvailable(lender, row.entries[lender.incarnation]);
  const counted = row.closed + open;
  return counted <= row.limit && spent + held + available <= counted;
}

function formatFlags(flags: readonly boolean[]): string {
  return flags.map((flag) => flag ? "1" : "0").join("");
}

function formatReports(reports: readonly (number | undefined)[]): string {
  return reports.map((unspent) => unspent ?? "-").join("");
}

function formatState(state: LoansState): string {
  const { row, lender, borrower } = state;
  const entries = row.entries
    .map((entry) =>
      `${entry.status}${entry.size}${formatFlags(entry.returned)}`
    );
  const outstanding = row.outstandingLoans.map(formatFlags).join("");
  const loans = borrower.loans.map((loan) =>
    `${loan.id}${loan.lenderIncarnation}${loan.spent}${
      loan.returning ? "r" : "h"
    }`
  );
  const lends =
    `${lender.incarnation}${lender.holdsGrant ? "h" : "-"}${lender.spent}` +
    `${formatFlags(lender.lent)}${formatFlags(lender.undebited)}` +
    `${lender.closing ? "c" : "-"}`;
  const borrows = `${borrower.incarnation}${
    borrower.pending ? "p" : "-"
  }${loans}`;
  const network = `${formatFlags(state.requests)}${
    state.answers.map(formatFlags)
  }${state.reports.map(formatReports)}`;
  return `${row.limit}${row.closed},${entries}${outstanding}|${lends}|${borrows}|` +
    `${state.partition}${network}${state.crashes}${state.spent}${state.paid}`;
}

/** Model of loans during a top-up. */
export const LOANS: Specification<LoansState> = {
  name: "loans",
  scope:
    "borrower A, lender B, limit 0 with one top-up of 2, loans of 1; 2 crashes, 1 partition of A from the store, write-offs at any time",
  guards: [
    Guard.DebitBeforeSend,
    Guard.CreditOncePerId,
    Guard.TransferNamesIncarnation,
    Guard.LoanCountsAsSpent,
    Guard.LoanReturnedOnce,
    Guard.LoanGivenToOne,
  ],
  invariants: [Invariant.NeverOverspent, Invariant.TokensConserved],
  createInitial: () => ({
    row: {
      limit: 0,
      closed: 0,
      entries: NONE.map(() => ({
        status: GrantStatus.None,
        size: 0,
        returned: NONE,
      })),
      outstandingLoans: NONE.map(() => NONE),
    },
    lender: createLender(0),
    borrower: { incarnation: 0, pending: false, loans: [] },
    partition: "0",
    requests: NONE,
    answers: NONE.map(() => NONE),
    reports: NONE.map(() => NO_REPORTS),
    crashes: 0,
    spent: 0,
    paid: 0,
  }),
  listSteps: (state, isOn) => [
    ...listStoreSteps(state, isOn),
    ...listLenderSteps(state, isOn),
    ...listBorrowerSteps(state, isOn),
    ...listCrashes(state),
  ],
  findViolation: (state) => {
    if (state.spent > state.paid) return Invariant.NeverOverspent;
    return isConserved(state) ? undefined : Invariant.TokensConserved;
  },
  formatState,
};
