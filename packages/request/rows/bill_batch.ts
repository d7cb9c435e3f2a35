/**
 * Rows with batches of bills: `bills/VM/INCARNATION/NUMBER`. A batch is written
 * once and never changed. The same bill identity may occur in several batches;
 * readers count it once, with the largest number of tokens.
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

/** Key prefix of all batch rows. */
export const BILL_BATCH_PREFIX = "bills/";

/** Maximum size of a batch row's value as JSON. */
export const MAX_BATCH_BYTES: Bytes = 64 * BYTES_PER_KIB;

/** Upper bound on the bytes of a batch's JSON besides its bills. */
const BATCH_OVERHEAD: Bytes = 64;

/** Batch numbers are padded to this many digits, so that keys sort by number. */
const NUMBER_DIGITS = 10;

/**
 * Returns the store operation that writes one batch. It does nothing if the
 * batch exists, so it may be repeated when its answer was lost.
 */
export function createBillBatch(input: {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /**
   * Sequence number of the batch within the VM's incarnation. A number must
   * always be used with the same bills.
   */
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

/**
 * Splits bills into batches of at most {@link MAX_BATCH_BYTES} each and keeps
 * their order.
 */
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
 * Returns the bills in batch rows, one for each identity. If an identity has
 * several bills, the one with the most tokens counts: a caller that disconnects
 * is billed for the tokens it used, and its retry with the same key, which runs
 * to the end, for the complete answer. Taking the maximum is commutative and
 * idempotent, so neither the order of the rows nor reading a row twice changes
 * the billed tokens. An incremental reader passes its previous result as
 * `earlier`.
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
