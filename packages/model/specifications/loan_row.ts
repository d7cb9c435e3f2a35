/**
 * The budget row with loans: the close of a lender's grant and the return of a
 * loan, which may come in either order.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck } from "../specification.ts";

/** Tokens of each loan. */
export const LOAN = 1;

/** The entry of the grant of one life of B in the budget row. */
export interface GrantEntry {
  readonly mark: EntryMark;
  readonly size: number;
  /** Loans of A's lives that came back to this entry. */
  readonly returned: readonly boolean[];
}

export enum EntryMark {
  None = "-",
  Open = "o",
  WrittenOff = "w",
  Closed = "c",
}

/** A budget row with the grants of B's lives. */
export interface LoanRow {
  readonly limit: number;
  readonly closed: number;
  readonly entries: readonly GrantEntry[];
  /** By B's life and A's life: a loan that outlived its grant's close. */
  readonly loansOut: readonly (readonly boolean[])[];
}

export interface Lender {
  readonly life: number;
  readonly holds: boolean;
  readonly spent: number;
  /** Loans made, by A's life. */
  readonly lent: readonly boolean[];
  /** Loans sent and not yet debited. */
  readonly owed: readonly boolean[];
  readonly closing: boolean;
}

/** A loan as its borrower holds it. */
export interface Loan {
  readonly id: number;
  readonly lenderLife: number;
  readonly spent: number;
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

/** Closes the lender's grant: what was spent and is still lent stays closed. */
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

/** Gives a loan back, once for its id. */
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
