/**
 * Pure functions that each make one change to a budget row. A function returns
 * the given row itself when its change has already taken effect or does not
 * apply, which makes the operations built from these functions idempotent.
 */
import type { Tokens, VmId, WallTime } from "../../core/mod.ts";
import {
  type OutstandingLoan,
  readRootLoanId,
  type VmIncarnation,
} from "../account.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  filterNewest,
  type GrantEntry,
  MAX_OUTSTANDING_LOANS,
  removeKey,
} from "./budget_row.ts";

/** Tokens to move from the budget to a VM. */
export interface GrantTake {
  /** Id of the new grant, and of the exchange that takes it. */
  readonly grantId: string;
  /**
   * Id of an open grant of the holder that the tokens are added to. If it is
   * absent, or the row has no such grant, a new grant is added.
   */
  readonly into?: string;
  readonly holder: VmIncarnation;
  readonly wanted: Tokens;
  /** Smallest useful number; when fewer tokens are left, nothing is granted. */
  readonly least: Tokens;
  readonly wallTime: WallTime;
}

/** A VM's report of its spending rate, which other VMs read from the row. */
export interface RateReport {
  readonly vm: VmId;
  /** Tokens per second. */
  readonly rate: number;
}

/** A holder's report of the spent tokens of one of its open grants. */
export interface SpentReport {
  readonly grantId: string;
  readonly spent: Tokens;
}

/** The close of a grant by its holder, which has no tokens of it reserved. */
export interface GrantClose {
  readonly grantId: string;
  /** Tokens spent by the holder's requests or by fully spent loans. */
  readonly spent: Tokens;
  /**
   * All loans made from the grant, except the fully spent ones that `spent`
   * includes.
   */
  readonly loans: readonly OutstandingLoan[];
}

/**
 * The return of a grant's available tokens by its holder, which keeps the rest.
 */
export interface GrantShrink {
  readonly grantId: string;
  /**
   * The new size by the holder's account, which includes lent tokens even when
   * their borrowers have returned them to the row.
   */
  readonly size: Tokens;
}

/**
 * A loan, or a re-lent part of one, whose unspent tokens its borrower returns.
 */
export interface LoanReturn {
  readonly transferId: string;
  readonly lenderGrantId: string;
  readonly unspent: Tokens;
  /**
   * True when no part was re-lent, so that all tokens not returned are spent.
   */
  readonly isLast: boolean;
}

/**
 * Raises the limit to an absolute value; a value below the present one is
 * ignored.
 */
export function applyLimit(row: BudgetRow, limit: Tokens): BudgetRow {
  return limit > row.limit ? { ...row, limit } : row;
}

/** Records how many tokens of open grants are spent; the numbers only rise. */
export function recordSpent(
  row: BudgetRow,
  reports: readonly SpentReport[],
): BudgetRow {
  const grants = { ...row.grants };
  for (const { grantId, spent } of reports) {
    const entry = grants[grantId];
    if (entry === undefined || spent <= (entry.spent ?? 0)) continue;
    grants[grantId] = { ...entry, spent };
  }
  return { ...row, grants };
}

/** Records a VM's spending rate; a rate of 0 or less removes the entry. */
export function recordRate(row: BudgetRow, report: RateReport): BudgetRow {
  const rates = removeKey(row.rates ?? {}, report.vm);
  if (report.rate <= 0) return { ...row, rates };
  return { ...row, rates: { ...rates, [report.vm]: report.rate } };
}

/**
 * Adds a grant, or tokens to an open one, with fewer tokens than wanted when
 * the budget has fewer left. Adds none when fewer than `least` are left or the
 * row shows that the take has already taken effect.
 */
export function addEntry(row: BudgetRow, take: GrantTake): BudgetRow {
  if (findTaken(row, take) !== undefined) return row;
  const size = Math.min(take.wanted, computeBudgetLeft(row));
  if (size < take.least || size <= 0) return row;
  const { grantId, into = grantId } = take;
  const grown = row.grants[into];
  if (grown !== undefined && grown.standby !== true) {
    const growth = { exchange: grantId, tokens: size };
    const entry = { ...grown, size: grown.size + size, growth };
    return { ...row, grants: { ...row.grants, [into]: entry } };
  }
  const entry = { ...take.holder, size, takenAt: take.wallTime };
  return { ...row, grants: { ...row.grants, [grantId]: entry } };
}

/**
 * Returns the grant that a take has added tokens to, and how many; undefined if
 * the take has not taken effect.
 */
export function findTaken(
  row: BudgetRow,
  take: Pick<GrantTake, "grantId" | "into">,
): { readonly grantId: string; readonly tokens: Tokens } | undefined {
  const { grantId, into = grantId } = take;
  const added = findEntry(row, grantId);
  if (added !== undefined) return { grantId, tokens: added.size };
  const growth = row.grants[into]?.growth;
  if (growth?.exchange !== grantId) return undefined;
  return { grantId: into, tokens: growth.tokens };
}

/**
 * Returns an open or written-off grant, or undefined when the row has neither.
 */
export function findEntry(
  row: BudgetRow,
  grantId: string,
): GrantEntry | undefined {
  return row.grants[grantId] ?? row.writeOffs?.[grantId];
}

/**
 * Closes a grant. Tokens that are spent or still lent are added to `closed`;
 * the rest can be granted again. A written-off grant returns its unspent tokens
 * in the same way, and only once, because its entry is removed. Throws when
 * more tokens are reported as used than the grant has.
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
      `Grant ${close.grantId} has ${entry.size} tokens, but was closed with ${used} used. Report this as a bug of the holder; the row was not changed.`,
    );
  }
  const ended = entry.endedLoans ?? [];
  const closed = addOutstandingLoans(row, {
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
 * Lowers a grant's size. Sizes are absolute and only become smaller, so a late
 * or duplicate change has no effect. A written-off grant is not changed until
 * it is closed.
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
 * Returns the unspent tokens of a loan, or of a re-lent part of one, to the
 * budget, once per transfer id. They are subtracted from the lender's grant
 * while it is open or written off, and afterwards from the outstanding loan.
 * The return of a loan that the row no longer has changes nothing.
 */
export function returnLoan(row: BudgetRow, loan: LoanReturn): BudgetRow {
  const openEntry = row.grants[loan.lenderGrantId];
  if (openEntry !== undefined) {
    const changed = returnToEntry(openEntry, loan);
    if (changed === openEntry) return row;
    return { ...row, grants: { ...row.grants, [loan.lenderGrantId]: changed } };
  }
  const writtenOffEntry = row.writeOffs?.[loan.lenderGrantId];
  if (writtenOffEntry !== undefined) {
    const changed = returnToEntry(writtenOffEntry, loan);
    if (changed === writtenOffEntry) return row;
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
  const key = formatLoanKey(
    loan.lenderGrantId,
    readRootLoanId(loan.transferId),
  );
  const loanEntry = row.loans?.[key];
  if (
    loanEntry === undefined || loanEntry.returned[loan.transferId] !== undefined
  ) {
    return row;
  }
  const left = loan.isLast ? 0 : loanEntry.tokens - loan.unspent;
  const changed = {
    ...loanEntry,
    tokens: left,
    returned: { ...loanEntry.returned, [loan.transferId]: loan.unspent },
  };
  const loans = left === 0
    ? removeKey(row.loans ?? {}, key)
    : { ...row.loans, [key]: changed };
  const returned = { ...row, closed: row.closed - loan.unspent, loans };
  if (loanEntry.writtenOff !== true) return returned;
  const writtenOff = (row.writtenOff ?? 0) - (loanEntry.tokens - left);
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

/** Records the loans of a closed grant that were not returned in full. */
function addOutstandingLoans(
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
        .filter(([id]) => readRootLoanId(id) === loan.transferId),
    );
    const tokens = loan.tokens - sumTokens(returned);
    if (tokens === 0) return [];
    const key = formatLoanKey(closed.grantId, loan.transferId);
    return [[key, { tokens, returned, ...loan.borrower }] as const];
  });
  if (added.length === 0) return row;
  const loans = { ...row.loans, ...Object.fromEntries(added) };
  return { ...row, loans: filterNewest(loans, MAX_OUTSTANDING_LOANS) };
}

function sumTokens(tokens: Readonly<Record<string, Tokens>>): Tokens {
  return Object.values(tokens).reduce((sum, each) => sum + each, 0);
}
