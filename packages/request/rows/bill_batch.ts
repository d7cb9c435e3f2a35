/**
 * Batches of bills: `bills/VM/INCARNATION/NUMBER`. A batch is written once;
 * readers count each bill identity once over all batches, at its largest.
 */
import { z } from "zod";
import {
  type Bytes,
  BYTES_PER_KIB,
  type Incarnation,
  type JsonValue,
  type Row,
  type RowOperation,
  type VmId,
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

/** Largest value of a batch row as JSON. */
export const MAX_BATCH_BYTES: Bytes = 64 * BYTES_PER_KIB;

/** Bytes of a batch besides its bills, with some to spare. */
const BATCH_OVERHEAD: Bytes = 64;

const NUMBER_DIGITS = 10;

/** Returns the operation that writes one batch. */
export function createBillBatch(input: {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Counts the batches of this life; a number names one list of bills. */
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

/** Splits bills, in their order, into batches of at most {@link MAX_BATCH_BYTES}. */
export function planBillBatches(bills: readonly Bill[]): Bill[][] {
  const batches: Bill[][] = [];
  let remainingBytes = 0;
  for (const bill of bills) {
    const size = Buffer.byteLength(JSON.stringify(bill)) + 1;
    if (size > remainingBytes) {
      batches.push([]);
      remainingBytes = MAX_BATCH_BYTES - BATCH_OVERHEAD;
    }
    batches.at(-1)!.push(bill);
    remainingBytes -= size;
  }
  return batches;
}

/**
 * Returns the bills in batch rows, each identity once. Of several bills of one
 * identity the largest counts: a caller that hung up is billed for what it
 * used, and its retry under the same key, which ran to the end, for the whole.
 * That is a join, so neither the order of rows nor reading them twice matters;
 * a reader that comes back passes what it had as `earlier`.
 */
export function collectBills(
  rows: readonly Row[],
  earlier: readonly Bill[] = [],
): Bill[] {
  const bills = rows.flatMap((row) => BATCH_SCHEMA.parse(row.value).bills);
  const largest = new Map<string, Bill>();
  for (const bill of [...earlier, ...bills]) {
    const identity = formatBillIdentity(bill);
    const known = largest.get(identity);
    if (known === undefined || bill.tokens > known.tokens) {
      largest.set(identity, bill);
    }
  }
  return [...largest.values()];
}
