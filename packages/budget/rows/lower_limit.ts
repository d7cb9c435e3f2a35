/**
 * Lowers an event's limit, in total by at most the amount requested under one
 * id.
 *
 * Tokens that are spent or granted cannot be withdrawn, so the limit is never
 * lowered below `closed` plus open grants. A receipt row records how far the
 * limit was lowered. Running the operation again under its id lowers it further
 * as grants are returned.
 */
import { z } from "zod";
import type {
  EventId,
  JsonValue,
  RowOperation,
  RowView,
  Tokens,
  WallTime,
} from "../../core/mod.ts";
import {
  computeBudgetLeft,
  formatBudgetKey,
  readBudgetRow,
} from "./budget_row.ts";

const RECEIPT_SCHEMA = z.object({
  tokens: z.number().int().nonnegative(),
  lowered: z.number().int().nonnegative(),
  at: z.number(),
});

/** Outcome of lowering a limit. */
export interface LowerLimitResult {
  readonly limit: Tokens;
  /** Total of tokens withdrawn under this id. */
  readonly lowered: Tokens;
  /** Tokens still to be withdrawn by running the operation again later. */
  readonly remaining: Tokens;
}

/** Returns the row operation that lowers an event's limit. */
export function createLowerLimit(input: {
  readonly eventId: EventId;
  readonly lowerId: string;
  readonly tokens: Tokens;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): RowOperation<LowerLimitResult> {
  const budgetKey = formatBudgetKey(input.eventId);
  const receiptKey = `lower/${input.eventId}/${input.lowerId}`;
  return {
    id: receiptKey,
    keys: [budgetKey, receiptKey],
    decide(rows) {
      const row = readBudgetRow(rows, input);
      const receipt = readReceipt(rows, receiptKey) ??
        { tokens: input.tokens, lowered: 0, at: input.wallTime };
      const wanted = receipt.tokens - receipt.lowered;
      const delta = Math.min(wanted, computeBudgetLeft(row));
      const lowered = receipt.lowered + delta;
      const limit = row.limit - delta;
      const result = { limit, lowered, remaining: receipt.tokens - lowered };
      if (delta === 0 && rows.has(receiptKey)) return { writes: [], result };
      const value: JsonValue = { ...row, limit };
      return {
        writes: [
          { key: budgetKey, value },
          { key: receiptKey, value: { ...receipt, lowered } },
        ],
        result,
      };
    },
  };
}

function readReceipt(rows: RowView, key: string) {
  const row = rows.get(key);
  return row === undefined ? undefined : RECEIPT_SCHEMA.parse(row.value);
}
