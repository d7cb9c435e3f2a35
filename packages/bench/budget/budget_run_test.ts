/**
 * Tests that budgets are not overspent under the faults of the experiment, and
 * that loans between VMs avoid refusals, at a small size.
 */
import test from "ava";
import { MILLIS_PER_MINUTE } from "../../core/mod.ts";
import { PALIVOKNIH_MIX, SELAM_MIX } from "../harness/workload.ts";
import { createBudgetCases } from "./budget_experiment.ts";
import { runBudgetCase } from "./budget_run.ts";
import { createEscrowPolicy, ESCROW_POLICY } from "./escrow_policy.ts";

const SIZE = {
  seed: 1,
  requestsPerSecond: 3,
  duration: 18 * MILLIS_PER_MINUTE,
};

for (const mix of [SELAM_MIX, PALIVOKNIH_MIX]) {
  for (const budgetCase of createBudgetCases(SIZE.requestsPerSecond)) {
    test(`${mix.name}, ${budgetCase.name}: no overspend, and at most one in 1,000 requests refused although reachable tokens covered it`, async (t) => {
      const input = { mix, budgetCase, ...SIZE };
      const figures = await runBudgetCase(ESCROW_POLICY, input);
      t.is(figures.overspend, 0);
      t.true(figures.avoidableRefusals <= figures.requests / 1_000);
    });
  }
}

test("without loans, requests that peers could cover are refused in a long store outage", async (t) => {
  const budgetCase = createBudgetCases(SIZE.requestsPerSecond)[3]!;
  const policyWithoutLoans = createEscrowPolicy({
    name: "no loans",
    lends: false,
  });
  const input = { mix: PALIVOKNIH_MIX, budgetCase, ...SIZE };
  const figures = await runBudgetCase(policyWithoutLoans, input);
  t.is(figures.overspend, 0);
  t.true(figures.avoidableRefusals > figures.requests / 1_000);
});
