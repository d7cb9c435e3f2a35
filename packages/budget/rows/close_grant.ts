/** Gives a grant's unspent tokens back to its budget, once. */
import type {
  EventId,
  JsonValue,
  RowOperation,
  Tokens,
} from "../../core/mod.ts";
import { formatBudgetKey } from "./budget_row.ts";
import { readBudgetRow } from "./take_grant.ts";

/** What became of closing a grant. */
export interface CloseGrantResult {
  /** False when the row no longer held the grant: it was closed before. */
  readonly closedNow: boolean;
}

/** Returns the operation by which a grant's holder closes it. */
export function createCloseGrant(input: {
  readonly eventId: EventId;
  readonly grantId: string;
  /** Tokens that the holder spent, in all. */
  readonly spent: Tokens;
  readonly initialLimit: Tokens;
}): RowOperation<CloseGrantResult> {
  const key = formatBudgetKey(input.eventId);
  return {
    id: `close/${input.grantId}`,
    keys: [key],
    decide(rows) {
      const row = readBudgetRow(rows, input);
      if (row.grants[input.grantId] === undefined) {
        return { writes: [], result: { closedNow: false } };
      }
      const grants = { ...row.grants };
      delete grants[input.grantId];
      const value: JsonValue = {
        ...row,
        closed: row.closed + input.spent,
        grants,
      };
      return { writes: [{ key, value }], result: { closedNow: true } };
    },
  };
}
