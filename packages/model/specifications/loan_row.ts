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
  readonly mark: EntryMark;
  readonly size: number;
  /** For each incarnation of A, whether its loan from this grant was returned. */
  readonly returned: readonly boolean[];
}

/** Status of a grant in the budget row. */
export enum EntryMark {
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
  /** By B's and A's incarnation: whether a loan of a closed grant is outstanding. */
  readonly loansOut: readonly (readonly boolean[])[];
}

/** State of the present incarnation of lender B. */
export interface Lender {
  readonly life: number;
  /** Whether the incarnation holds a grant. */
  readonly holds: boolean;
  readonly spent: number;
  /** By A's incarnation: whether a loan was debited from the grant. */
  readonly lent: readonly boolean[];
  /**
   * By A's incarnation: whether a loan was sent that is not debited yet, which
   * only happens without `DebitBeforeSend`.
   */
  readonly owed: readonly boolean[];
  /** Whether the grant is being closed and may not be used any more. */
  readonly closing: boolean;
}

/** A loan in the borrower's memory. */
export interface Loan {
  /** Incarnation of A that asked for the loan. */
  readonly id: number;
  readonly lenderLife: number;
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
    .filter((entry) => entry.mark === EntryMark.Open)
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
  const entry = row.entries[lender.life]!;
  const known = entry.mark === EntryMark.Open ||
    entry.mark === EntryMark.WrittenOff;
  if (!known) return row;
  const out = lender.lent.map((lent, id) => lent && !entry.returned[id]);
  const lent = isOn(Guard.LoanCountsAsSpent) ? computeCount(out) * LOAN : 0;
  const used = lender.spent + lent;
  const closed = entry.mark === EntryMark.Open
    ? row.closed + used
    : row.closed - (entry.size - used);
  const mark = EntryMark.Closed;
  return {
    ...row,
    closed,
    entries: changeAt(row.entries, lender.life, { ...entry, mark }),
    loansOut: changeAt(row.loansOut, lender.life, out),
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
  const { id, lenderLife } = loan;
  const unspent = LOAN - loan.spent;
  const entry = row.entries[lenderLife]!;
  if (entry.mark === EntryMark.Closed || entry.mark === EntryMark.None) {
    const out = row.loansOut[lenderLife]!;
    if (!out[id] && isOn(Guard.LoanReturnedOnce)) return row;
    return {
      ...row,
      closed: row.closed - unspent,
      loansOut: changeAt(row.loansOut, lenderLife, changeAt(out, id, false)),
    };
  }
  if (entry.returned[id] && isOn(Guard.LoanReturnedOnce)) return row;
  const changed = {
    ...entry,
    size: entry.size - unspent,
    returned: changeAt(entry.returned, id, true),
  };
  const lost = entry.mark === EntryMark.WrittenOff ? unspent : 0;
  return {
    ...row,
    closed: row.closed - lost,
    entries: changeAt(row.entries, lenderLife, changed),
  };
}
