/**
 * The row of one event's budget: `budget/EVENT`.
 *
 * Invariant: `closed` plus the sizes of all open grants never exceed `limit`.
 * Loans that are still out after their lender's grant was closed, and grants
 * that were written off, are counted in `closed` already.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { EventId, JsonValue, RowView, Tokens } from "../../core/mod.ts";

const TOKENS_SCHEMA = z.number().int().nonnegative();

const GRANT_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  size: TOKENS_SCHEMA,
  takenAt: z.number(),
  /** Whether the holder may not use it yet; see presence rows. */
  standby: z.boolean().optional(),
  /** Tokens that borrowers gave back, by transfer id; `size` is without them. */
  returned: z.record(z.string(), TOKENS_SCHEMA).optional(),
  /** Loans whose borrower has accounted for all of them. */
  endedLoans: z.array(z.string()).optional(),
});

const WRITE_OFF_SCHEMA = GRANT_SCHEMA.extend({ writtenOffAt: z.number() });

const LOAN_SCHEMA = z.object({
  /** Tokens that have not been given back. */
  tokens: TOKENS_SCHEMA,
  /** Parts that were given back, by transfer id. */
  returned: z.record(z.string(), TOKENS_SCHEMA),
  vm: z.string(),
  incarnation: z.string(),
  /** True once its borrower was counted as lost. */
  writtenOff: z.boolean().optional(),
});

const BUDGET_SCHEMA = z.object({
  limit: TOKENS_SCHEMA,
  closed: TOKENS_SCHEMA,
  grants: z.record(z.string(), GRANT_SCHEMA),
  /** Tokens a second that each VM last said it draws. */
  rates: z.record(z.string(), z.number()).optional(),
  /** Loans that are out although the lender's grant is closed, by grant and transfer id. */
  loans: z.record(z.string(), LOAN_SCHEMA).optional(),
  /** Tokens lost with VMs and not accounted for, in all. */
  writtenOff: TOKENS_SCHEMA.optional(),
  /** The latest grants that were written off, by grant id. */
  writeOffs: z.record(z.string(), WRITE_OFF_SCHEMA).optional(),
});

/** Most write-offs kept singly; older ones stay in the total only. */
export const MAX_WRITE_OFFS = 64;

/** Most loans kept after their lender's close; older ones can't be returned. */
export const MAX_OUTSTANDING_LOANS = 256;

/** One open grant as the row keeps it. */
export type GrantEntry = z.infer<typeof GRANT_SCHEMA>;

/** One grant that was written off, as the row keeps it. */
export type WriteOffEntry = z.infer<typeof WRITE_OFF_SCHEMA>;

/** One loan whose lender's grant is closed, as the row keeps it. */
export type LoanEntry = z.infer<typeof LOAN_SCHEMA>;

/** The budget row's value. */
export type BudgetRow = z.infer<typeof BUDGET_SCHEMA>;

/** Returns the key of an event's budget row. */
export function formatBudgetKey(eventId: EventId): string {
  return `budget/${eventId}`;
}

/** Returns the row of an event on which nothing was drawn. */
export function createBudgetRow(limit: Tokens): BudgetRow {
  return { limit, closed: 0, grants: {} };
}

/** Parses a row's value; a value of another shape is an error, never a default. */
export function parseBudgetRow(
  value: JsonValue,
): Either<string, BudgetRow> {
  const parsed = BUDGET_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/** Returns the budget row among the rows read, or that of a fresh event. */
export function readBudgetRow(
  rows: RowView,
  input: { readonly eventId: EventId; readonly initialLimit: Tokens },
): BudgetRow {
  const row = rows.get(formatBudgetKey(input.eventId));
  if (row === undefined) return createBudgetRow(input.initialLimit);
  return parseBudgetRow(row.value).caseOf({
    Left: (reason) => {
      throw new Error(
        `Row ${row.key} is damaged: ${reason}. Restore it from the table's backup.`,
      );
    },
    Right: (value) => value,
  });
}

/** Returns the tokens that open grants hold. */
export function computeGranted(row: BudgetRow): Tokens {
  return Object.values(row.grants).reduce((sum, each) => sum + each.size, 0);
}

/** Returns the number of VMs that hold open grants. */
export function countHolders(row: BudgetRow): number {
  return new Set(Object.values(row.grants).map((each) => each.vm)).size;
}

/** Returns the VMs other than one that hold open grants, by their rates. */
export function listOtherHolders(
  row: BudgetRow,
  vm: string | undefined,
): string[] {
  const rates = row.rates ?? {};
  const holders = new Set(Object.values(row.grants).map((each) => each.vm));
  return [...holders]
    .filter((each) => each !== vm)
    .sort((left, right) => (rates[right] ?? 0) - (rates[left] ?? 0));
}

/** Returns the tokens a second that VMs other than one draw, by their word. */
export function sumOtherRates(row: BudgetRow, vm: string | undefined): number {
  return Object.entries(row.rates ?? {})
    .filter(([each]) => each !== vm)
    .reduce((sum, [, rate]) => sum + rate, 0);
}

/** Returns the tokens that are counted as closed and may yet come back. */
export function sumOutstandingLoans(row: BudgetRow): Tokens {
  return Object.values(row.loans ?? {})
    .filter((loan) => loan.writtenOff !== true)
    .reduce((sum, loan) => sum + loan.tokens, 0);
}

/** Returns the tokens that can still be granted. */
export function computeBudgetLeft(row: BudgetRow): Tokens {
  return row.limit - row.closed - computeGranted(row);
}

/** Returns a record without one key. */
export function removeKey<Value>(
  record: Readonly<Record<string, Value>>,
  key: string,
): Record<string, Value> {
  const { [key]: _removed, ...rest } = record;
  return rest;
}

/** Returns a record's newest entries, in the order they were added. */
export function filterNewest<Value>(
  record: Readonly<Record<string, Value>>,
  maxCount: number,
): Record<string, Value> {
  return Object.fromEntries(Object.entries(record).slice(-maxCount));
}
