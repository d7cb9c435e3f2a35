/** Reads the bills and the budget row from the store of a trial fleet. */
import { type BudgetRow, parseBudgetRow } from "../budget/mod.ts";
import {
  type Bill,
  BILL_BATCH_PREFIX,
  collectBills,
  formatBillIdentity,
} from "../request/mod.ts";
import type { MemoryTable } from "../stand_ins/mod.ts";
import { EVENT_ID } from "./trial_document.ts";

/** Maximum number of bill rows that are read, in a single page. */
const PAGE_ROWS = 1_000;

/**
 * Returns the stored bills. Where several have the same identity, only the one
 * with the most tokens is returned.
 */
export async function readBills(table: MemoryTable): Promise<Bill[]> {
  const page = await table.scan(BILL_BATCH_PREFIX, { limit: PAGE_ROWS });
  return collectBills(page.unsafeCoerce().rows);
}

/** Returns the identities of the stored bills, each identity once. */
export async function listBillIdentities(
  table: MemoryTable,
): Promise<string[]> {
  return (await readBills(table)).map(formatBillIdentity);
}

/** Returns the stored budget row of the trial event. */
export function readTrialBudget(table: MemoryTable): BudgetRow {
  const row = table.peek(`budget/${EVENT_ID}`);
  return parseBudgetRow(row?.value ?? null).unsafeCoerce();
}
