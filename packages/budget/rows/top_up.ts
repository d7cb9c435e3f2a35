/** Raises an event's limit, once per top-up id. */
import type {
  EventId,
  JsonValue,
  Row,
  RowOperation,
  Tokens,
  WallTime,
} from "../../core/mod.ts";
import { formatBudgetKey, readBudgetRow } from "./budget_row.ts";

/** Outcome of a top-up. */
export interface TopUpResult {
  readonly limit: Tokens;
  /** False when a top-up with this id was applied before. */
  readonly appliedNow: boolean;
  /**
   * The amount applied before under this id, when it differs from the present
   * one.
   */
  readonly appliedTokens?: Tokens;
}

/** Returns the row operation that raises an event's limit. */
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
      const receipt = rows.get(receiptKey);
      if (receipt !== undefined) {
        return {
          writes: [],
          result: describeRepeat(row.limit, receipt, input.tokens),
        };
      }
      const limit = row.limit + input.tokens;
      const value: JsonValue = { ...row, limit };
      const newReceipt = { tokens: input.tokens, at: input.wallTime };
      return {
        writes: [
          { key: budgetKey, value },
          { key: receiptKey, value: newReceipt },
        ],
        result: { limit, appliedNow: true },
      };
    },
  };
}

function describeRepeat(
  limit: Tokens,
  receipt: Row,
  tokens: Tokens,
): TopUpResult {
  const applied = (receipt.value as { readonly tokens?: JsonValue }).tokens;
  if (typeof applied !== "number" || applied === tokens) {
    return { limit, appliedNow: false };
  }
  return { limit, appliedNow: false, appliedTokens: applied };
}
