/**
 * Single changes of a budget row. Each returns the row it was given when the
 * change has taken effect already or has nothing to act on, which makes the
 * operations built from them idempotent.
 */
import type { Tokens, VmId, WallTime } from "../../core/mod.ts";
import {
  type OutstandingLoan,
  PART_SEPARATOR,
  type VmIncarnation,
} from "../account.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  filterNewest,
  type GrantEntry,
  MAX_LOANS_OUT,
  removeKey,
} from "./budget_row.ts";

/** Tokens to move from the budget to a VM. */
export interface GrantTake {
  readonly grantId: string;
  readonly holder: VmIncarnation;
  readonly wanted: Tokens;
  /** Fewer than this are of no use; then nothing is granted. */
  readonly least: Tokens;
  readonly wallTime: WallTime;
}

/** What a VM says of its drawing, for the others to know. */
export interface RateWord {
  readonly vm: VmId;
  /** Tokens a second; 0 takes the VM off the row. */
  readonly rate: number;
}

/** A grant that its holder closes. Nothing is reserved from it any more. */
export interface GrantClose {
  readonly grantId: string;
  /** Tokens that the holder's own requests spent, in all. */
  readonly spent: Tokens;
  /** Every loan that was ever made from the grant. */
  readonly loans: readonly OutstandingLoan[];
}

/** A grant whose holder gives unreserved tokens back and keeps the rest. */
export interface GrantShrink {
  readonly grantId: string;
  /** The new size as the holder counts it, loans included. */
  readonly size: Tokens;
}

/** A loan whose borrower is done with it. */
export interface LoanReturn {
  readonly transferId: string;
  readonly lenderGrantId: string;
  readonly unspent: Tokens;
  /** True when no part was handed on, so that the rest is spent for good. */
  readonly isLast: boolean;
}

/** Raises the limit to a figure that comes whole; a lower one changes nothing. */
export function applyLimit(row: BudgetRow, limit: Tokens): BudgetRow {
  return limit > row.limit ? { ...row, limit } : row;
}

/** Records a VM's rate, in a row that is written anyway. */
export function recordRate(row: BudgetRow, word: RateWord): BudgetRow {
  const rates = removeKey(row.rates ?? {}, word.vm);
  if (word.rate <= 0) return { ...row, rates };
  return { ...row, rates: { ...rates, [word.vm]: word.rate } };
}

/** Adds a grant; grants less than wanted near the end of the budget. */
export function takeEntry(row: BudgetRow, take: GrantTake): BudgetRow {
  if (findEntry(row, take.grantId) !== undefined) return row;
  const size = Math.min(take.wanted, computeBudgetLeft(row));
  if (size < take.least || size <= 0) return row;
  const entry = { ...take.holder, size, takenAt: take.wallTime };
  return { ...row, grants: { ...row.grants, [take.grantId]: entry } };
}

/** Returns an open or written-off grant. */
export function findEntry(
  row: BudgetRow,
  grantId: string,
): GrantEntry | undefined {
  return row.grants[grantId] ?? row.writeOffs?.[grantId];
}

/**
 * Closes a grant: what was spent and what is still lent stays closed, the rest
 * is free. A written-off grant gives its rest back in the same way, once,
 * because its entry goes with it.
 */
export function closeEntry(row: BudgetRow, close: GrantClose): BudgetRow {
  const entry = findEntry(row, close.grantId);
  if (entry === undefined) return row;
  const { loans } = close;
  const returned = entry.returned ?? {};
  const lent = loans.reduce((sum, loan) => sum + loan.tokens, 0);
  const used = close.spent + lent - sumTokens(returned);
  if (used > entry.size) {
    throw new Error(
      `Grant ${close.grantId} of ${entry.size} tokens was closed with ${used} used. Report this as a fault of the holder; the row was not changed.`,
    );
  }
  const ended = entry.endedLoans ?? [];
  const closed = addLoansOut(row, {
    grantId: close.grantId,
    loans: loans.filter((loan) => !ended.includes(loan.transferId)),
    returned,
  });
  if (row.grants[close.grantId] !== undefined) {
    return {
      ...closed,
      closed: row.closed + used,
      grants: removeKey(row.grants, close.grantId),
    };
  }
  return {
    ...closed,
    closed: row.closed - (entry.size - used),
    writtenOff: (row.writtenOff ?? 0) - entry.size,
    writeOffs: removeKey(row.writeOffs ?? {}, close.grantId),
  };
}

/**
 * Lowers a grant's size. Sizes are absolute and only fall, so one that comes
 * late or twice changes nothing. A written-off grant is left for its close.
 */
export function shrinkEntry(row: BudgetRow, shrink: GrantShrink): BudgetRow {
  const entry = row.grants[shrink.grantId];
  if (entry === undefined) return row;
  const size = shrink.size - sumTokens(entry.returned ?? {});
  if (size >= entry.size) return row;
  const changed = { ...entry, size };
  return { ...row, grants: { ...row.grants, [shrink.grantId]: changed } };
}

/**
 * Gives the unspent tokens of a loan, or of a part that was handed on, back
 * once for its transfer id: to the lender's grant while that is open or written
 * off, else to the loan that outlived it. A loan that the row no longer knows
 * gives nothing back.
 */
export function returnLoan(row: BudgetRow, loan: LoanReturn): BudgetRow {
  const open = row.grants[loan.lenderGrantId];
  if (open !== undefined) {
    const changed = returnToEntry(open, loan);
    if (changed === open) return row;
    return { ...row, grants: { ...row.grants, [loan.lenderGrantId]: changed } };
  }
  const lost = row.writeOffs?.[loan.lenderGrantId];
  if (lost !== undefined) {
    const changed = returnToEntry(lost, loan);
    if (changed === lost) return row;
    return {
      ...row,
      closed: row.closed - loan.unspent,
      writtenOff: (row.writtenOff ?? 0) - loan.unspent,
      writeOffs: { ...row.writeOffs, [loan.lenderGrantId]: changed },
    };
  }
  return returnToLoan(row, loan);
}

function returnToLoan(row: BudgetRow, loan: LoanReturn): BudgetRow {
  const key = formatLoanKey(loan.lenderGrantId, findRoot(loan.transferId));
  const out = row.loans?.[key];
  if (out === undefined || out.returned[loan.transferId] !== undefined) {
    return row;
  }
  const left = loan.isLast ? 0 : out.tokens - loan.unspent;
  const changed = {
    ...out,
    tokens: left,
    returned: { ...out.returned, [loan.transferId]: loan.unspent },
  };
  const loans = left === 0
    ? removeKey(row.loans ?? {}, key)
    : { ...row.loans, [key]: changed };
  const returned = { ...row, closed: row.closed - loan.unspent, loans };
  if (out.writtenOff !== true) return returned;
  const writtenOff = (row.writtenOff ?? 0) - (out.tokens - left);
  return { ...returned, writtenOff };
}

function returnToEntry<Entry extends GrantEntry>(
  entry: Entry,
  loan: LoanReturn,
): Entry {
  if (entry.returned?.[loan.transferId] !== undefined) return entry;
  const returned = { ...entry.returned, [loan.transferId]: loan.unspent };
  const changed = { ...entry, size: entry.size - loan.unspent, returned };
  if (!loan.isLast) return changed;
  const endedLoans = [...entry.endedLoans ?? [], loan.transferId];
  return { ...changed, endedLoans };
}

function formatLoanKey(lenderGrantId: string, transferId: string): string {
  return `${lenderGrantId}>${transferId}`;
}

/** Keeps the loans of a closed grant that have not come back whole. */
function addLoansOut(
  row: BudgetRow,
  closed: {
    readonly grantId: string;
    readonly loans: readonly OutstandingLoan[];
    readonly returned: Readonly<Record<string, Tokens>>;
  },
): BudgetRow {
  const added = closed.loans.flatMap((loan) => {
    const returned = Object.fromEntries(
      Object.entries(closed.returned)
        .filter(([id]) => findRoot(id) === loan.transferId),
    );
    const tokens = loan.tokens - sumTokens(returned);
    if (tokens === 0) return [];
    const key = formatLoanKey(closed.grantId, loan.transferId);
    return [[key, { tokens, returned, ...loan.borrower }] as const];
  });
  if (added.length === 0) return row;
  const loans = { ...row.loans, ...Object.fromEntries(added) };
  return { ...row, loans: filterNewest(loans, MAX_LOANS_OUT) };
}

/** Returns the id of the loan that a part was handed on from, or its own. */
function findRoot(transferId: string): string {
  return transferId.split(PART_SEPARATOR, 1)[0] ?? transferId;
}

function sumTokens(tokens: Readonly<Record<string, Tokens>>): Tokens {
  return Object.values(tokens).reduce((sum, each) => sum + each, 0);
}
