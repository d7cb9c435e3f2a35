/** Tests of the sums of calls to the store. */
import test from "ava";
import { StoreCallKind, StoreCallOutcome } from "../ports/mod.ts";
import { StoreTraffic } from "./store_traffic.ts";

test("calls are summed by table and kind until they are taken", (t) => {
  const traffic = new StoreTraffic();
  const call = {
    table: "budget",
    kind: StoreCallKind.Transaction,
    outcome: StoreCallOutcome.Done,
    sentBytes: 100,
    receivedBytes: 10,
    duration: 5,
  };
  traffic.record(call);
  traffic.record({ ...call, outcome: StoreCallOutcome.Conflict });
  traffic.record({ ...call, outcome: StoreCallOutcome.NoAnswer });
  traffic.record({ ...call, table: "targets", kind: StoreCallKind.Feed });
  t.deepEqual(traffic.take(), {
    budget_transaction: "3/1/1/330",
    targets_feed: "1/0/0/110",
  });
  t.is(traffic.take(), undefined);
});
