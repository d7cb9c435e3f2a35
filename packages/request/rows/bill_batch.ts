/**
 * Batches of bills: `bills/VM/INCARNATION/NUMBER`. A batch is written once;
 * readers count each bill identity once over all batches.
 */
import { z } from "zod";
import type {
  Incarnation,
  JsonValue,
  Row,
  RowOperation,
  VmId,
} from "../../core/mod.ts";
import { type Bill, formatBillIdentity } from "../bill.ts";

const BILL_SCHEMA = z.object({
  customer: z.string(),
  requestKey: z.string(),
  event: z.string(),
  kind: z.string(),
  tokens: z.number().int().nonnegative(),
  endedAt: z.number(),
});

const BATCH_SCHEMA = z.object({ bills: z.array(BILL_SCHEMA) });

/** Prefix of every batch row's key. */
export const BILL_BATCH_PREFIX = "bills/";

const NUMBER_DIGITS = 10;

/** Returns the operation that writes one batch. */
export function createBillBatch(input: {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly number: number;
  readonly bills: readonly Bill[];
}): RowOperation<void> {
  const number = String(input.number).padStart(NUMBER_DIGITS, "0");
  const key = `${BILL_BATCH_PREFIX}${input.vm}/${input.incarnation}/${number}`;
  return {
    id: key,
    keys: [key],
    decide(rows) {
      if (rows.has(key)) return { writes: [], result: undefined };
      const bills = input.bills.map((bill) => ({ ...bill }));
      const value: JsonValue = { bills };
      return { writes: [{ key, value }], result: undefined };
    },
  };
}

/** Returns the bills in batch rows, each identity once, the first in key order. */
export function collectBills(rows: readonly Row[]): Bill[] {
  const seen = new Map<string, Bill>();
  for (const row of rows) {
    for (const bill of BATCH_SCHEMA.parse(row.value).bills) {
      const identity = formatBillIdentity(bill);
      if (!seen.has(identity)) seen.set(identity, bill);
    }
  }
  return [...seen.values()];
}
