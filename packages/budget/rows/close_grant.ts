/** Closes a grant and returns its unspent tokens to the budget, once. */
import type {
  EventId,
  JsonValue,
  RowOperation,
  Tokens,
} from "../../core/mod.ts";
import type { OutstandingLoan } from "../account.ts";
import { formatBudgetKey, readBudgetRow } from "./budget_row.ts";
import { closeEntry } from "./row_changes.ts";

/** Outcome of closing a grant. */
export interface CloseGrantResult {
  /** False when the row has no such grant because it was closed before. */
  readonly closedNow: boolean;
}

/** Returns the operation by which a grant's holder closes it. */
export function createCloseGrant(input: {
  readonly eventId: EventId;
  readonly grantId: string;
  /** Tokens spent by the holder's requests or by fully spent loans. */
  readonly spent: Tokens;
  /** All loans made from the grant, except those that `spent` includes. */
  readonly loans: readonly OutstandingLoan[];
  readonly initialLimit: Tokens;
}): RowOperation<CloseGrantResult> {
  const key = formatBudgetKey(input.eventId);
  return {
    id: `close/${input.grantId}`,
    keys: [key],
    decide(rows) {
      const before = readBudgetRow(rows, input);
      const row = closeEntry(before, input);
      const closedNow = row !== before;
      const value: JsonValue = { ...row };
      return {
        writes: closedNow ? [{ key, value }] : [],
        result: { closedNow },
      };
    },
  };
}
