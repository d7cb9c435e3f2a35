/** Tests of the tokens that borrowers wait for. */
import test from "ava";
import { BorrowerDemand } from "../mod.ts";

test("a borrower that asks again counts once, and no longer than its request waits", (t) => {
  const demand = new BorrowerDemand(800);
  demand.record("v1", { tokens: 100, now: 0 });
  demand.record("v2", { tokens: 50, now: 100 });
  demand.record("v1", { tokens: 80, now: 200 });
  t.is(demand.sum(300), 130);
  demand.remove("v2");
  t.is(demand.sum(300), 80);
  t.is(demand.sum(1_000), 0);
});
