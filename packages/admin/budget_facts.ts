/** Reads the budgets of events that a document change affects. */
import { type Either, Right } from "purify-ts";
import {
  computeGranted,
  formatBudgetKey,
  parseBudgetRow,
} from "../budget/mod.ts";
import type {
  EventId,
  FleetConfiguration,
  PlatformError,
  Row,
} from "../core/mod.ts";
import type { BudgetFacts, DocumentReader } from "../document/mod.ts";

/** Max number of budgets that one dry run reads. */
const MAX_BUDGETS = 100;

/**
 * Reads the budgets of existing events whose initial budget in tokens changes,
 * at most {@link MAX_BUDGETS}. Events without a valid budget row are missing
 * from the result.
 */
export async function readBudgetFacts(
  reader: DocumentReader,
  input: {
    readonly before: FleetConfiguration;
    readonly after: FleetConfiguration;
    readonly events: readonly EventId[];
  },
): Promise<Either<PlatformError, ReadonlyMap<EventId, BudgetFacts>>> {
  const changed = input.events.filter((event) =>
    input.before.events.has(event) &&
    input.before.events.get(event)?.budgetTokens !==
      input.after.events.get(event)?.budgetTokens
  ).slice(0, MAX_BUDGETS);
  if (changed.length === 0) return Right(new Map());
  const answer = await reader.read(changed.map(formatBudgetKey));
  return answer.map((rows) => {
    const byKey = new Map(rows.map((row) => [row.key, row]));
    return new Map(changed.flatMap((event) => {
      const facts = createFacts(byKey.get(formatBudgetKey(event)));
      return facts === undefined ? [] : [[event, facts] as const];
    }));
  });
}

function createFacts(row: Row | undefined): BudgetFacts | undefined {
  if (row === undefined) return undefined;
  return parseBudgetRow(row.value).toMaybe().map((budget) => ({
    limit: budget.limit,
    closed: budget.closed,
    granted: computeGranted(budget),
    holders: new Set(Object.values(budget.grants).map((grant) => grant.vm))
      .size,
  })).extract();
}
