/** What a fleet's table says of bills and budgets. */
import { type BudgetRow, parseBudgetRow } from "../budget/mod.ts";
import {
  type Bill,
  BILL_BATCH_PREFIX,
  collectBills,
  formatBillIdentity,
} from "../request/mod.ts";
import type { MemoryTable } from "../stand_ins/mod.ts";
import { EVENT_ID } from "./trial_document.ts";

const PAGE_ROWS = 1_000;

/** Returns every bill in the table, each identity once. */
export async function readBills(table: MemoryTable): Promise<Bill[]> {
  const page = await table.scan(BILL_BATCH_PREFIX, { limit: PAGE_ROWS });
  return collectBills(page.unsafeCoerce().rows);
}

/** Returns the identities of every bill row entry, doubles included. */
export async function listBillIdentities(
  table: MemoryTable,
): Promise<string[]> {
  return (await readBills(table)).map(formatBillIdentity);
}

/** Returns the budget row of the trial event. */
export function readTrialBudget(table: MemoryTable): BudgetRow {
  const row = table.peek(`budget/${EVENT_ID}`);
  return parseBudgetRow(row?.value ?? null).unsafeCoerce();
}
