/**
 * The budget row of the loans model. The lender's grant may be closed before or
 * after a loan from it is returned.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck } from "../specification.ts";

/** Number of tokens in each loan. */
export const LOAN = 1;

/** The budget row's entry for the grant of one incarnation of lender B. */
export interface GrantEntry {
  readonly status: GrantStatus;
  readonly size: number;
  /**
   * For each incarnation of A, whether its loan from this grant was returned.
   */
  readonly returned: readonly boolean[];
}

/** Status of a grant in the budget row. */
export enum GrantStatus {
  None = "-",
  Open = "o",
  WrittenOff = "w",
  Closed = "c",
}

/** Value of the budget row. */
export interface LoanRow {
  readonly limit: number;
  /** Tokens that count as spent by closed and written-off grants. */
  readonly closed: number;
  /** Grants by B's incarnation. */
  readonly entries: readonly GrantEntry[];
  /**
   * By B's and A's incarnation: whether a loan of a closed grant is
   * outstanding.
   */
  readonly outstandingLoans: readonly (readonly boolean[])[];
}

/** State of the present incarnation of lender B. */
export interface Lender {
  readonly incarnation: number;
  /** Whether the incarnation holds a grant. */
  readonly holdsGrant: boolean;
  readonly spent: number;
  /** By A's incarnation: whether a loan was debited from the grant. */
  readonly lent: readonly boolean[];
  /**
   * By A's incarnation: whether a loan was sent that is not debited yet, which
   * only happens without `DebitBeforeSend`.
   */
  readonly undebited: readonly boolean[];
  /** Whether the grant is being closed and may not be used any more. */
  readonly closing: boolean;
}

/** A loan in the borrower's memory. */
export interface Loan {
  /** Incarnation of A that asked for the loan. */
  readonly id: number;
  readonly lenderIncarnation: number;
  readonly spent: number;
  /** Whether the loan is being returned and may not be used any more. */
  readonly returning: boolean;
}

export function changeAt<Item>(
  items: readonly Item[],
  index: number,
  item: Item,
): readonly Item[] {
  return items.map((each, position) => position === index ? item : each);
}

export function computeCount(flags: readonly boolean[]): number {
  return flags.filter((flag) => flag).length;
}

export function computeOpen(row: LoanRow): number {
  return row.entries
    .filter((entry) => entry.status === GrantStatus.Open)
    .reduce((sum, entry) => sum + entry.size, 0);
}

/**
 * Closes the lender's grant. Its spent tokens and outstanding loans count as
 * spent; the other tokens return to the budget.
 */
export function closeEntry(
  row: LoanRow,
  lender: Lender,
  isOn: GuardCheck,
): LoanRow {
  const entry = row.entries[lender.incarnation]!;
  const known = entry.status === GrantStatus.Open ||
    entry.status === GrantStatus.WrittenOff;
  if (!known) return row;
  const outstanding = lender.lent.map((lent, id) =>
    lent && !entry.returned[id]
  );
  const lent = isOn(Guard.LoanCountsAsSpent)
    ? computeCount(outstanding) * LOAN
    : 0;
  const used = lender.spent + lent;
  const closed = entry.status === GrantStatus.Open
    ? row.closed + used
    : row.closed - (entry.size - used);
  const status = GrantStatus.Closed;
  return {
    ...row,
    closed,
    entries: changeAt(row.entries, lender.incarnation, { ...entry, status }),
    outstandingLoans: changeAt(
      row.outstandingLoans,
      lender.incarnation,
      outstanding,
    ),
  };
}

/**
 * Returns the unspent tokens of a loan to the budget. A loan that was returned
 * before, or is not outstanding, leaves the row unchanged.
 */
export function receiveReturn(
  row: LoanRow,
  loan: Loan,
  isOn: GuardCheck,
): LoanRow {
  const { id, lenderIncarnation } = loan;
  const unspent = LOAN - loan.spent;
  const entry = row.entries[lenderIncarnation]!;
  if (
    entry.status === GrantStatus.Closed || entry.status === GrantStatus.None
  ) {
    const outstanding = row.outstandingLoans[lenderIncarnation]!;
    if (!outstanding[id] && isOn(Guard.LoanReturnedOnce)) return row;
    return {
      ...row,
      closed: row.closed - unspent,
      outstandingLoans: changeAt(
        row.outstandingLoans,
        lenderIncarnation,
        changeAt(outstanding, id, false),
      ),
    };
  }
  if (entry.returned[id] && isOn(Guard.LoanReturnedOnce)) return row;
  const changed = {
    ...entry,
    size: entry.size - unspent,
    returned: changeAt(entry.returned, id, true),
  };
  const lost = entry.status === GrantStatus.WrittenOff ? unspent : 0;
  return {
    ...row,
    closed: row.closed - lost,
    entries: changeAt(row.entries, lenderIncarnation, changed),
  };
}
