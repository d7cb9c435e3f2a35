/**
 * The budget row of one event, with the key `budget/EVENT`.
 *
 * Invariant: `closed` plus the sizes of all open grants never exceeds `limit`.
 * `closed` includes grants that were written off, and loans still outstanding
 * after their lender's grant was closed.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { EventId, JsonValue, RowView, Tokens } from "../../core/mod.ts";

const TOKENS_SCHEMA = z.number().int().nonnegative();

const GRANT_SCHEMA = z.object({
  /** The VM that holds the grant. */
  vm: z.string(),
  /** The incarnation of the VM that took the grant. */
  incarnation: z.string(),
  /** Tokens granted, without those that were returned since. */
  size: TOKENS_SCHEMA,
  /** Wall-clock time of the take. */
  takenAt: z.number(),
  /**
   * True while the grant is on standby: its holder may use its tokens only as
   * they are unlocked; see `standby/presence_row.ts`.
   */
  standby: z.boolean().optional(),
  /** Tokens of it that its holder has last reported as spent. */
  spent: TOKENS_SCHEMA.optional(),
  /**
   * The last exchange that added tokens to the grant, and how many. An exchange
   * that is decided again after a lost answer finds here that it took effect.
   */
  growth: z.object({ exchange: z.string(), tokens: TOKENS_SCHEMA }).optional(),
  /** Tokens that borrowers returned, by transfer id; `size` excludes them. */
  returned: z.record(z.string(), TOKENS_SCHEMA).optional(),
  /** Transfer ids of loans that their borrowers have settled in full. */
  endedLoans: z.array(z.string()).optional(),
});

const WRITE_OFF_SCHEMA = GRANT_SCHEMA.extend({ writtenOffAt: z.number() });

const LOAN_SCHEMA = z.object({
  /** Tokens that have not been returned. */
  tokens: TOKENS_SCHEMA,
  /** Tokens that were returned, by transfer id of the loan or its part. */
  returned: z.record(z.string(), TOKENS_SCHEMA),
  /** The borrower. */
  vm: z.string(),
  /** The borrower's incarnation. */
  incarnation: z.string(),
  /** True once the loan was written off with its borrower. */
  writtenOff: z.boolean().optional(),
});

const BUDGET_SCHEMA = z.object({
  /** Total number of tokens of the event. */
  limit: TOKENS_SCHEMA,
  /** Tokens of closed grants that were not returned: spent, lent or lost. */
  closed: TOKENS_SCHEMA,
  /** Open grants, by grant id. */
  grants: z.record(z.string(), GRANT_SCHEMA),
  /** Spending rate that each VM last reported, in tokens per second. */
  rates: z.record(z.string(), z.number()).optional(),
  /**
   * Outstanding loans whose lender's grant is closed, by grant and transfer id.
   */
  loans: z.record(z.string(), LOAN_SCHEMA).optional(),
  /** Total of tokens lost with VMs and not accounted for. */
  writtenOff: TOKENS_SCHEMA.optional(),
  /** Grants that were written off most recently, by grant id. */
  writeOffs: z.record(z.string(), WRITE_OFF_SCHEMA).optional(),
  /** Era of the store in which the row was last written, if it counts them. */
  era: z.number().int().nonnegative().optional(),
  /** What was merged since the era began; see `restore/merge_known_row.ts`. */
  restored: z.object({
    /** Version of the earlier eras that the row includes. */
    version: z.number(),
    /** Closed tokens at that version. */
    closed: TOKENS_SCHEMA,
    /** When the row was first written after a restore; a {@link StoreTime}. */
    at: z.number().optional(),
    /** True until the row is changed otherwise than by merges. */
    isOnlyMerged: z.boolean().optional(),
    /** VMs that held grants before the restore, and whether they have merged. */
    holders: z.record(z.string(), z.boolean()).optional(),
  }).optional(),
});

/**
 * Maximum number of write-offs kept as entries; older ones count in the total
 * only.
 */
export const MAX_WRITE_OFFS = 64;

/**
 * Maximum number of outstanding loans kept after their lender's grant was
 * closed. Older ones can no longer be returned.
 */
export const MAX_OUTSTANDING_LOANS = 256;

/** An open grant as stored in the row. */
export type GrantEntry = z.infer<typeof GRANT_SCHEMA>;

/** A written-off grant as stored in the row. */
export type WriteOffEntry = z.infer<typeof WRITE_OFF_SCHEMA>;

/** An outstanding loan whose lender's grant is closed, as stored in the row. */
export type LoanEntry = z.infer<typeof LOAN_SCHEMA>;

/** The value of a budget row. */
export type BudgetRow = z.infer<typeof BUDGET_SCHEMA>;

/** Returns the key of an event's budget row. */
export function formatBudgetKey(eventId: EventId): string {
  return `budget/${eventId}`;
}

/** Returns the row of an event that has granted no tokens yet. */
export function createBudgetRow(limit: Tokens): BudgetRow {
  return { limit, closed: 0, grants: {} };
}

/**
 * Parses a row's value; a value that violates the schema is an error, never a
 * default.
 */
export function parseBudgetRow(
  value: JsonValue,
): Either<string, BudgetRow> {
  const parsed = BUDGET_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/**
 * Returns the budget row among the rows read, or a new one when the event has
 * none. Throws when the row violates the schema.
 */
export function readBudgetRow(
  rows: RowView,
  input: { readonly eventId: EventId; readonly initialLimit: Tokens },
): BudgetRow {
  const row = rows.get(formatBudgetKey(input.eventId));
  if (row === undefined) return createBudgetRow(input.initialLimit);
  return parseBudgetRow(row.value).caseOf({
    Left: (reason) => {
      throw new Error(
        `Row ${row.key} is damaged: ${reason}. Restore it from the store's backup.`,
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

/**
 * Returns the other VMs that hold open grants, the highest spending rate first.
 */
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

/**
 * Returns the ids of the exchanges that last added tokens to the open grants of
 * other VMs. A new id shows that another VM has taken tokens.
 */
export function listOtherTakes(
  row: BudgetRow,
  vm: string | undefined,
): string[] {
  return Object.entries(row.grants)
    .filter(([, grant]) => grant.vm !== vm)
    .map(([grantId, { growth }]) => growth?.exchange ?? grantId);
}

/**
 * Returns the total spending rate that the other VMs last reported, in tokens
 * per second.
 */
export function sumOtherRates(row: BudgetRow, vm: string | undefined): number {
  return Object.entries(row.rates ?? {})
    .filter(([each]) => each !== vm)
    .reduce((sum, [, rate]) => sum + rate, 0);
}

/**
 * Returns the tokens of outstanding loans: counted as closed, but still
 * returnable.
 */
export function sumOutstandingLoans(row: BudgetRow): Tokens {
  return Object.values(row.loans ?? {})
    .filter((loan) => loan.writtenOff !== true)
    .reduce((sum, loan) => sum + loan.tokens, 0);
}

/**
 * Returns the tokens of open grants that VMs other than the given one have
 * reported as spent.
 */
export function sumSpentByOthers(row: BudgetRow, vm: string | undefined) {
  return Object.values(row.grants)
    .filter((grant) => grant.vm !== vm)
    .reduce<Tokens>((sum, grant) => sum + (grant.spent ?? 0), 0);
}

/** Returns the tokens left to grant. */
export function computeBudgetLeft(row: BudgetRow): Tokens {
  return row.limit - row.closed - computeGranted(row);
}

/** Returns a copy of a record without one key. */
export function removeKey<Value>(
  record: Readonly<Record<string, Value>>,
  key: string,
): Record<string, Value> {
  const { [key]: _removed, ...rest } = record;
  return rest;
}

/**
 * Returns the `maxCount` newest entries of a record, in the order of their
 * addition.
 */
export function filterNewest<Value>(
  record: Readonly<Record<string, Value>>,
  maxCount: number,
): Record<string, Value> {
  return Object.fromEntries(Object.entries(record).slice(-maxCount));
}
