/** Raises an event's limit, once for each top-up id. */
import type {
  EventId,
  JsonValue,
  RowOperation,
  Tokens,
  WallTime,
} from "../../core/mod.ts";
import { formatBudgetKey } from "./budget_row.ts";
import { readBudgetRow } from "./take_grant.ts";

/** What became of a top-up. */
export interface TopUpResult {
  readonly limit: Tokens;
  /** False when this id had raised the limit before. */
  readonly appliedNow: boolean;
}

/** Returns the operation that raises an event's limit. */
export function createTopUp(input: {
  readonly eventId: EventId;
  readonly topUpId: string;
  readonly tokens: Tokens;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): RowOperation<TopUpResult> {
  const budgetKey = formatBudgetKey(input.eventId);
  const receiptKey = `topup/${input.eventId}/${input.topUpId}`;
  return {
    id: receiptKey,
    keys: [budgetKey, receiptKey],
    decide(rows) {
      const row = readBudgetRow(rows, input);
      if (rows.has(receiptKey)) {
        return {
          writes: [],
          result: { limit: row.limit, appliedNow: false },
        };
      }
      const limit = row.limit + input.tokens;
      const value: JsonValue = { ...row, limit };
      const receipt = { tokens: input.tokens, at: input.wallTime };
      return {
        writes: [{ key: budgetKey, value }, {
          key: receiptKey,
          value: receipt,
        }],
        result: { limit, appliedNow: true },
      };
    },
  };
}
