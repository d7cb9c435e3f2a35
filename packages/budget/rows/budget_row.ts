/**
 * The row of one event's budget: `budget/EVENT`.
 *
 * Invariant: `closed` plus the sizes of all open grants never exceed `limit`.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { EventId, JsonValue, Tokens } from "../../core/mod.ts";

const GRANT_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  size: z.number().int().nonnegative(),
  takenAt: z.number(),
});

const BUDGET_SCHEMA = z.object({
  limit: z.number().int().nonnegative(),
  closed: z.number().int().nonnegative(),
  grants: z.record(z.string(), GRANT_SCHEMA),
});

/** One open grant as the row keeps it. */
export type GrantEntry = z.infer<typeof GRANT_SCHEMA>;

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

/** Returns the tokens that open grants hold. */
export function computeGranted(row: BudgetRow): Tokens {
  return Object.values(row.grants).reduce((sum, each) => sum + each.size, 0);
}

/** Returns the tokens that can still be granted. */
export function computeBudgetLeft(row: BudgetRow): Tokens {
  return row.limit - row.closed - computeGranted(row);
}
