/** Tests of deduplicating bills and of splitting them into batches. */
import test from "ava";
import { MemoryRows } from "../../stand_ins/mod.ts";
import {
  type Bill,
  BILL_BATCH_PREFIX,
  collectBills,
  createBillBatch,
  formatBillIdentity,
  MAX_BATCH_BYTES,
  planBillBatches,
} from "../mod.ts";

function createBill(requestKey: string, tokens = 1): Bill {
  const bill = { customer: "c", requestKey, event: "e", kind: "k" };
  return { ...bill, tokens, endedAt: 0 };
}

function write(rows: MemoryRows, vm: string, bills: readonly Bill[]) {
  const input = { vm, incarnation: "1", number: 1, bills };
  return rows.apply(createBillBatch(input));
}

function describeBills(bills: readonly Bill[]): string[] {
  return bills.map((bill) => `${bill.requestKey}=${bill.tokens}`).sort();
}

test("a key billed by several VMs counts once, with the most tokens", (t) => {
  const rows = new MemoryRows();
  write(rows, "b", [createBill("x", 5), createBill("y")]);
  write(rows, "b", [createBill("x", 5), createBill("y")]);
  const early = collectBills(rows.list(BILL_BATCH_PREFIX));
  t.deepEqual(describeBills(early), ["x=5", "y=1"]);
  write(rows, "a", [createBill("x", 9), createBill("z")]);
  write(rows, "c", [createBill("x", 7)]);
  const all = rows.list(BILL_BATCH_PREFIX);
  const expected = ["x=9", "y=1", "z=1"];
  t.deepEqual(describeBills(collectBills(all)), expected);
  t.deepEqual(describeBills(collectBills([...all].reverse())), expected);
  t.deepEqual(describeBills(collectBills(all, early)), expected);
  t.deepEqual(describeBills(collectBills([], collectBills(all))), expected);
});

test("bill identities differ even if customer or key contains the separator", (t) => {
  const left = { ...createBill("b/c"), customer: "a" };
  const right = { ...createBill("c"), customer: "a/b" };
  t.not(formatBillIdentity(left), formatBillIdentity(right));
});

test("batches stay within the maximum row size and contain all bills", (t) => {
  const bills = Array.from(
    { length: 3_000 },
    (_, index) => createBill(`é${"k".repeat(index % 200)}${index}`),
  );
  const batches = planBillBatches(bills);
  t.deepEqual(batches.flat(), bills);
  const sizes = batches.map((each) =>
    Buffer.byteLength(JSON.stringify({ bills: each }))
  );
  t.true(Math.max(...sizes) <= MAX_BATCH_BYTES);
  t.true(batches.length <= 2 + sizes.reduce((a, b) => a + b) / MAX_BATCH_BYTES);
  t.deepEqual(planBillBatches([]), []);
});
