/**
 * Runs operations on budgets' rows. Each one first merges into the row what this
 * VM knows of it, if the store has come back from an older copy. A row that a
 * lagging copy shows older than this VM knows it decides nothing.
 */
import type { Either } from "purify-ts";
import {
  type BudgetRow,
  createBudgetRow,
  formatBudgetKey,
  isRowMerged,
  mergeKnownRow,
  parseBudgetRow,
  recordChange,
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

/** A budget and the rows of one transaction, its own among them. */
interface BudgetRows {
  readonly budget: BudgetState;
  /** Key of the budget's row. */
  readonly key: string;
  readonly rows: RowView;
}

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
    decide: (read) => {
      const rows = chooseNewerRow(context, { budget, key, rows: read });
      const merged = mergeRows(context, { budget, key, rows });
      const decision = operation.decide(merged);
      const writes = decision.writes.map(createChange);
      const isMerge = writes.length === 0 && merged !== rows;
      return {
        ...decision,
        writes: isMerge ? [{ key, value: merged.get(key)!.value }] : writes,
      };
    },
  }, {
    ...options,
    onCompleted: (facts, rowsAfter) => {
      recordRow(context, { budget, key, rows: rowsAfter });
      options.onCompleted?.(facts, rowsAfter);
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

/**
 * Returns the rows with the known row in place of an older one of the same era.
 * Without eras an older one may be that of a restored store. What is written is
 * checked at the version that was read, so that a conflict shows the newest row.
 */
function chooseNewerRow(context: GatewayContext, input: BudgetRows): RowView {
  const { key, rows } = input;
  const { known } = input.budget;
  if (known === undefined) return rows;
  const version = findVersion(context, input);
  const era = readEra(known.version);
  return era > 0 && era === readEra(version) && version < known.version
    ? new Map([...rows, [key, { ...known, key }]])
    : rows;
}

/** Returns the version of a row; one that is missing has the era's lowest. */
function findVersion(context: GatewayContext, input: BudgetRows): number {
  const { budget, key, rows } = input;
  const row = rows.get(key);
  if (row !== undefined) return row.version;
  // A row that the copy didn't have yet.
  return budget.known === undefined
    ? 0
    : createStoreVersion(context.dialect.table.readEra?.() ?? 0, 0);
}

/** Returns the rows with what this VM knows merged into the budget's row. */
function mergeRows(context: GatewayContext, input: BudgetRows): RowView {
  const { budget, key, rows } = input;
  const { known } = budget;
  const { vm } = context;
  const row = rows.get(key);
  const version = findVersion(context, input);
  if (isRowMerged(row?.value, { vm, version, known })) return rows;
  const before = row === undefined
    ? createBudgetRow(budget.prepaid)
    : parseBudgetRow(row.value).toMaybe().extract();
  // The operation itself reports a row that can't be read.
  if (before === undefined) return rows;
  // The answer with the row had the store's time.
  const now = readStoreTime(context) ?? 0;
  const merged = mergeKnownRow(before, { vm, version, known, now });
  if (merged === before) return rows;
  const value = merged as unknown as JsonValue;
  return new Map([...rows, [key, { key, version, value }]]);
}

/** Returns the write of a row that an operation has changed. */
function createChange({ key, value }: RowWrite): RowWrite {
  const changed = recordChange(value as unknown as BudgetRow);
  return { key, value: changed as unknown as JsonValue };
}

/**
 * Records what this VM knows of the budget's row after an operation, unless it
 * knew it newer.
 */
function recordRow(context: GatewayContext, input: BudgetRows): void {
  const { budget, key, rows } = input;
  const { known } = budget;
  const row = rows.get(key);
  if (row === undefined || row.version < (known?.version ?? 0)) return;
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
