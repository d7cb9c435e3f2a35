/**
 * Model of a loan that is divided: B has lent two tokens to A, which may lend
 * one of them on to C. A and C each give what they have left back to B, or
 * return it to the budget row. Reports to B are never removed from the network,
 * so that each may arrive late, in any order, any number of times or never.
 *
 * Writes of the budget row are atomic, but their answers may be lost. Crashes
 * and write-offs are in the loans model; here a VM may stay silent for ever.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";
import { changeAt } from "./loan_row.ts";

/** Tokens that were paid for, all of them in B's grant. */
const PAID = 3;

/** Tokens of the loan. */
const LOAN = 2;

/** Holders of the loan's parts: its borrower and the VM that it lends on to. */
const NAMES = ["A", "C"] as const;
const BORROWER = 0;
const LAST = 1;

/** What one VM holds of the loan. */
interface Part {
  /** Tokens of the loan that the VM has, without those that it lent on. */
  readonly size: number;
  readonly spent: number;
  /** Whether it is being returned and may not be used any more. */
  readonly returning: boolean;
}

/** A VM's message that it gives its part back. */
interface Report {
  readonly size: number;
  readonly unspent: number;
}

/** B's grant and what is lent from it. */
interface Lender {
  readonly holdsGrant: boolean;
  readonly closing: boolean;
  readonly spent: number;
  /** Tokens of the loan whose holders have not reported yet. */
  readonly lent: number;
  /** By holder: whether B has counted its report. */
  readonly counted: readonly boolean[];
}

/** The budget row, with one grant and its loan. */
interface Row {
  readonly isOpen: boolean;
  readonly size: number;
  readonly closed: number;
  /** By holder: tokens that it has returned; undefined before. */
  readonly returned: readonly (number | undefined)[];
}

/** A state of the model. */
export interface LoanPartsState {
  readonly row: Row;
  readonly lender: Lender;
  /** By holder; undefined if it has no part. */
  readonly parts: readonly (Part | undefined)[];
  readonly isDivided: boolean;
  /** By holder: its report, once that is on the network. */
  readonly reports: readonly (Report | undefined)[];
  /** Tokens that all VMs have spent. */
  readonly spent: number;
}

type PartsStep = Step<LoanPartsState>;

function computeAvailable(
  { holdsGrant, closing, spent, lent }: Lender,
): number {
  return holdsGrant && !closing ? PAID - spent - lent : 0;
}

function sumReturned({ returned }: Row): number {
  return returned.reduce<number>((sum, each) => sum + (each ?? 0), 0);
}

function listLenderSteps(
  state: LoanPartsState,
  isOn: GuardCheck,
): PartsStep[] {
  const { lender } = state;
  if (!lender.holdsGrant) return [];
  const marked = { ...state, lender: { ...lender, closing: true } };
  const closed = { ...marked, row: closeGrant(state) };
  const steps = [
    {
      label: "B close committed",
      next: { ...closed, lender: { ...closed.lender, holdsGrant: false } },
    },
    { label: "B close committed, answer lost", next: closed },
    { label: "B close not done", next: marked },
  ];
  if (lender.closing) return steps;
  if (computeAvailable(lender) >= 1) {
    const next = {
      ...state,
      lender: { ...lender, spent: lender.spent + 1 },
      spent: state.spent + 1,
    };
    steps.push({ label: "B spends 1", next });
  }
  return [...steps, ...listCounts(state, isOn)];
}

/** Reports that arrive at B, including late and duplicate ones. */
function listCounts(state: LoanPartsState, isOn: GuardCheck): PartsStep[] {
  const { lender, reports } = state;
  return reports.flatMap((report, holder) => {
    const isRepeated = lender.counted[holder]! &&
      isOn(Guard.LoanPartCountedOnce);
    if (report === undefined || isRepeated || report.size > lender.lent) {
      return [];
    }
    const next = {
      ...state,
      lender: {
        ...lender,
        lent: lender.lent - report.size,
        spent: lender.spent + report.size - report.unspent,
        counted: changeAt(lender.counted, holder, true),
      },
    };
    return [{ label: `B counts the report of ${NAMES[holder]}`, next }];
  });
}

/** Closes B's grant; what is still lent counts as spent until it is returned. */
function closeGrant({ row, lender }: LoanPartsState): Row {
  if (!row.isOpen) return row;
  const used = lender.spent + lender.lent - sumReturned(row);
  return { ...row, isOpen: false, size: 0, closed: row.closed + used };
}

function listHolderSteps(
  state: LoanPartsState,
  isOn: GuardCheck,
): PartsStep[] {
  return state.parts.flatMap((part, holder) => {
    if (part === undefined) return [];
    const returns = listReturns(state, { part, holder });
    if (part.returning) return returns;
    const name = NAMES[holder];
    const steps: PartsStep[] = [...returns];
    if (part.spent < part.size) {
      const spent = { ...part, spent: part.spent + 1 };
      const next = {
        ...state,
        parts: changeAt(state.parts, holder, spent),
        spent: state.spent + 1,
      };
      steps.push({ label: `${name} spends 1`, next });
    }
    const report = { size: part.size, unspent: part.size - part.spent };
    const left = isOn(Guard.LoanGivenToOne)
      ? undefined
      : { ...part, returning: true };
    steps.push({
      label: `${name} gives its part back to B`,
      next: {
        ...state,
        reports: changeAt(state.reports, holder, report),
        parts: changeAt(state.parts, holder, left),
      },
    });
    return steps;
  });
}

function listDivisions(
  state: LoanPartsState,
  isOn: GuardCheck,
): PartsStep[] {
  const part = state.parts[BORROWER];
  if (part === undefined || part.returning || state.isDivided) return [];
  if (part.size - part.spent < 1) return [];
  const size = isOn(Guard.LoanPartLeavesLoan) ? part.size - 1 : part.size;
  const kept = changeAt(state.parts, BORROWER, { ...part, size });
  const lentOn = { size: 1, spent: 0, returning: false };
  const next = {
    ...state,
    isDivided: true,
    parts: changeAt(kept, LAST, lentOn),
  };
  return [{ label: "A lends 1 on to C", next }];
}

/** Returns of a part to the budget row, which records each once. */
function listReturns(
  state: LoanPartsState,
  { part, holder }: { readonly part: Part; readonly holder: number },
): PartsStep[] {
  const kept = { ...part, returning: true };
  const marked = { ...state, parts: changeAt(state.parts, holder, kept) };
  const done = { ...marked, row: receivePart(state.row, { part, holder }) };
  const name = `${NAMES[holder]} returns its part`;
  const gone = changeAt(state.parts, holder, undefined);
  return [
    { label: `${name}: committed`, next: { ...done, parts: gone } },
    { label: `${name}: committed, answer lost`, next: done },
    { label: `${name}: not done`, next: marked },
  ];
}

function receivePart(
  row: Row,
  { part, holder }: { readonly part: Part; readonly holder: number },
): Row {
  if (row.returned[holder] !== undefined) return row;
  const unspent = part.size - part.spent;
  const returned = changeAt(row.returned, holder, unspent);
  return row.isOpen
    ? { ...row, returned, size: row.size - unspent }
    : { ...row, returned, closed: row.closed - unspent };
}

/**
 * Returns whether the tokens that were spent or are in a VM's memory are
 * covered by those that the budget row counts.
 */
function isConserved({ row, lender, parts, spent }: LoanPartsState): boolean {
  const held = parts.reduce(
    (sum, part) =>
      part === undefined || part.returning ? sum : sum + part.size - part.spent,
    0,
  );
  const counted = row.closed + row.size;
  return counted <= PAID && spent + held + computeAvailable(lender) <= counted;
}

/** Model of a loan that is given back by its parts. */
export const LOAN_PARTS: Specification<LoanPartsState> = {
  name: "loan-parts",
  scope:
    "lender B with a grant of 3, one loan of 2 to A, of which 1 may be lent on to C; reports repeated, late or lost, answers of the store lost",
  guards: [
    Guard.LoanGivenToOne,
    Guard.LoanPartCountedOnce,
    Guard.LoanPartLeavesLoan,
  ],
  invariants: [Invariant.NeverOverspent, Invariant.TokensConserved],
  createInitial: () => ({
    row: {
      isOpen: true,
      size: PAID,
      closed: 0,
      returned: [undefined, undefined],
    },
    lender: {
      holdsGrant: true,
      closing: false,
      spent: 0,
      lent: LOAN,
      counted: [false, false],
    },
    parts: [{ size: LOAN, spent: 0, returning: false }, undefined],
    isDivided: false,
    reports: [undefined, undefined],
    spent: 0,
  }),
  listSteps: (state, isOn) => [
    ...listLenderSteps(state, isOn),
    ...listHolderSteps(state, isOn),
    ...listDivisions(state, isOn),
  ],
  findViolation: (state) => {
    if (state.spent > PAID) return Invariant.NeverOverspent;
    return isConserved(state) ? undefined : Invariant.TokensConserved;
  },
  formatState: (state) => JSON.stringify(state),
};
