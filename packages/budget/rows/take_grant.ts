/** Moves tokens from a budget to a VM. */
import type {
  EventId,
  Incarnation,
  JsonValue,
  RowOperation,
  RowView,
  Tokens,
  VmId,
  WallTime,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  createBudgetRow,
  formatBudgetKey,
  parseBudgetRow,
} from "./budget_row.ts";

/** What became of asking for a grant. */
export interface TakeGrantResult {
  /** Tokens granted; 0 when the budget could not cover the least wanted. */
  readonly size: Tokens;
  /** Tokens left to grant after this operation. */
  readonly budgetLeft: Tokens;
}

/** What a VM asks for. */
export interface TakeGrantInput {
  readonly eventId: EventId;
  readonly grantId: string;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly wanted: Tokens;
  readonly least: Tokens;
  /** Limit of an event whose row does not exist yet. */
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}

/** Returns the operation that takes a grant from an event's budget. */
export function createTakeGrant(
  input: TakeGrantInput,
): RowOperation<TakeGrantResult> {
  const key = formatBudgetKey(input.eventId);
  return {
    id: input.grantId,
    keys: [key],
    decide(rows) {
      const row = readBudgetRow(rows, input);
      const left = computeBudgetLeft(row);
      const held = row.grants[input.grantId];
      if (held !== undefined) {
        return { writes: [], result: { size: held.size, budgetLeft: left } };
      }
      const size = Math.min(input.wanted, left);
      if (size < input.least || size <= 0) {
        return { writes: [], result: { size: 0, budgetLeft: left } };
      }
      const entry = {
        vm: input.vm,
        incarnation: input.incarnation,
        size,
        takenAt: input.wallTime,
      };
      const grants = { ...row.grants, [input.grantId]: entry };
      const value: JsonValue = { ...row, grants };
      return {
        writes: [{ key, value }],
        result: { size, budgetLeft: left - size },
      };
    },
  };
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
