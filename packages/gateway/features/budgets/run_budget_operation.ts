/**
 * Runs operations on budgets' rows. Each one first merges into the row what this
 * VM knows of it, if the store has come back from an older copy.
 */
import type { Either } from "purify-ts";
import {
  formatBudgetKey,
  isRowMerged,
  mergeKnownRow,
  readBudgetRow,
} from "../../../budget/mod.ts";
import {
  createStoreVersion,
  type JsonValue,
  type PlatformError,
  readEra,
  type RowOperation,
  type RowView,
  type RowWrite,
} from "../../../core/mod.ts";
import type { RunOptions } from "../../../ports/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { readStoreTime } from "../read_store_time.ts";
import type { BudgetState } from "./budget_state.ts";

/**
 * Queues an operation on a budget's row and resolves with its result, as the
 * row's writer does. Records the row as it is after the operation.
 */
export async function runBudgetOperation<Result>(
  context: GatewayContext,
  input: {
    readonly budget: BudgetState;
    readonly operation: RowOperation<Result>;
    readonly options: RunOptions;
  },
): Promise<Either<PlatformError, Result>> {
  const { budget, operation, options } = input;
  const key = formatBudgetKey(budget.customer);
  return await budget.writer.run({
    ...operation,
    decide: (rows) => {
      const merged = mergeRows(context, { budget, key, rows });
      const decision = operation.decide(merged);
      return merged === rows || decision.writes.length > 0
        ? decision
        : { ...decision, writes: [createWrite(merged, key)] };
    },
  }, {
    ...options,
    onCompleted: (facts) => {
      recordRow(context, { budget, key, rows: facts.rows });
      options.onCompleted?.(facts);
    },
  });
}

/** Returns the operation that only merges what this VM knows into a row. */
export function createBudgetMerge(budget: BudgetState): RowOperation<void> {
  return {
    id: `merge/${budget.customer}`,
    keys: [formatBudgetKey(budget.customer)],
    decide: () => ({ writes: [], result: undefined }),
  };
}

function mergeRows(
  context: GatewayContext,
  input: {
    readonly budget: BudgetState;
    readonly key: string;
    readonly rows: RowView;
  },
): RowView {
  const { budget, key, rows } = input;
  const { known } = budget;
  const row = rows.get(key);
  const era = context.dialect.table.readEra?.() ?? 0;
  const version = row?.version ?? createStoreVersion(era, 0);
  if (isRowMerged(row?.value, { version, known })) return rows;
  const before = readBudgetRow(rows, {
    eventId: budget.customer,
    initialLimit: budget.prepaid,
  });
  // The answer with the row had the store's time.
  const now = readStoreTime(context) ?? 0;
  const merged = mergeKnownRow(before, { version, known, now });
  if (merged === before) return rows;
  const value = merged as unknown as JsonValue;
  return new Map([...rows, [key, { key, version, value }]]);
}

function createWrite(rows: RowView, key: string): RowWrite {
  return { key, value: rows.get(key)!.value };
}

function recordRow(
  context: GatewayContext,
  input: {
    readonly budget: BudgetState;
    readonly key: string;
    readonly rows: RowView;
  },
): void {
  const { budget, key, rows } = input;
  const { known } = budget;
  const row = rows.get(key);
  if (row === undefined) return;
  budget.known = row;
  if (known === undefined || readEra(known.version) === readEra(row.version)) {
    return;
  }
  context.log.warn(LogEvent.BudgetRestored, {
    customer: budget.customer,
    before: readEra(known.version),
    era: readEra(row.version),
  });
}
