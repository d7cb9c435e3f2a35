/**
 * Compares escrow by grants with a transaction per request and with fixed equal
 * shares, with and without faults.
 */
import { type Millis, MILLIS_PER_MINUTE } from "../../core/mod.ts";
import {
  PALIVOKNIH_MIX,
  SELAM_MIX,
  type WorkloadMix,
} from "../harness/workload.ts";
import {
  createAtLeastGoal,
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
  type Goal,
} from "../report/experiment.ts";
import { SHARES_POLICY, TRANSACTION_POLICY } from "./baseline_policies.ts";
import { createWindow } from "./budget_fleet.ts";
import type { BudgetPolicy } from "./budget_node.ts";
import {
  type BudgetCase,
  type BudgetFigures,
  runBudgetCase,
} from "./budget_run.ts";
import { ESCROW_POLICY } from "./escrow_policy.ts";

/** The experiment that `anvilrail bench` runs. */
export const budgetExperiment: Experiment = {
  name: "budget-faults",
  description:
    "Overspend, false refusals, stranded tokens and store writes of budgets, calm and under faults",
  quick: true,
  run: runBudgets,
};

/** Load and length of a run. */
interface RunSize {
  readonly requestsPerSecond: number;
  readonly duration: Millis;
}

const QUICK: RunSize = {
  requestsPerSecond: 6,
  duration: 15 * MILLIS_PER_MINUTE,
};
const FULL: RunSize = {
  requestsPerSecond: 20,
  duration: 40 * MILLIS_PER_MINUTE,
};

const MIXES = [SELAM_MIX, PALIVOKNIH_MIX];
const POLICIES = [ESCROW_POLICY, TRANSACTION_POLICY, SHARES_POLICY];
const FAULT_DURATION: Millis = 10 * MILLIS_PER_MINUTE;
const FAULT_START: Millis = 4 * MILLIS_PER_MINUTE;

/** Figures of one policy in one case; one row of the table of results. */
interface CaseResult {
  readonly mix: WorkloadMix;
  readonly budgetCase: BudgetCase;
  readonly policy: BudgetPolicy;
  readonly figures: BudgetFigures;
}

/** Creates the fault-free case and one case for each kind of fault. */
export function createBudgetCases(requestsPerSecond: number): BudgetCase[] {
  const noFaults = { outages: [], partitions: [] };
  const faultFree = { name: "calm", faults: noFaults, waves: [], deaths: [] };
  const start = FAULT_START;
  const wave = { start, spread: 2_000, requests: 60 * requestsPerSecond };
  const window = createWindow(start, FAULT_DURATION);
  return [
    faultFree,
    { ...faultFree, name: "wave", waves: [wave] },
    {
      ...faultFree,
      name: "partition during a top-up",
      faults: { ...noFaults, partitions: [window] },
      topUpAt: start + MILLIS_PER_MINUTE,
    },
    {
      ...faultFree,
      name: "store down",
      faults: { ...noFaults, outages: [window] },
    },
    {
      ...faultFree,
      name: "VM deaths",
      deaths: ["near-1", "far-1", "near-3"].map((vm, index) => ({
        vm,
        at: start + index * 2 * MILLIS_PER_MINUTE,
      })),
    },
  ];
}

async function runBudgets(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const size = options.quick ? QUICK : FULL;
  const results: CaseResult[] = [];
  for (const mix of MIXES) {
    for (const budgetCase of createBudgetCases(size.requestsPerSecond)) {
      options.log(`${mix.name}: ${budgetCase.name}`);
      for (const policy of POLICIES) {
        const { seed } = options;
        const input = { mix, budgetCase, seed, ...size };
        const figures = await runBudgetCase(policy, input);
        results.push({ mix, budgetCase, policy, figures });
      }
    }
  }
  return {
    tables: [createTable(results)],
    goals: createGoals(results),
    notes: NOTES,
  };
}

const NOTES = [
  "A refusal is false when the event's limit, less what engines used and less the bounds of requests in progress, covered the request's bound: what a perfect central count would have admitted.",
  "It is avoidable when, besides, what the VM could reach covered it: its own grants, loans from VMs that it can talk to, and the table unless it is down or cut off.",
  "Rows written are those of budgets. A call that may not be repeated writes two more rows for its claim, and bills go in batches; neither depends on the policy.",
  "Stranded tokens are neither spent, nor available, nor with a live VM six minutes after the last request; written-off tokens are what lost VMs held, spent or not.",
];

const COLUMNS = [
  "mix",
  "case",
  "policy",
  "requests",
  "refused",
  "false refusals per 10,000",
  "avoidable per 10,000",
  "overspend (tokens)",
  "stranded (% of limits)",
  "written off (% of limits)",
  "rows written per 1,000 requests",
  "transactions per 1,000 requests",
];

function createTable(results: readonly CaseResult[]) {
  return {
    name: "budget-faults",
    title: "Budgets, calm and under faults",
    columns: COLUMNS,
    rows: results.map(({ mix, budgetCase, policy, figures }) => [
      mix.name,
      budgetCase.name,
      policy.name,
      figures.requests,
      figures.refusals,
      10_000 * figures.falseRefusals / figures.requests,
      10_000 * figures.avoidableRefusals / figures.requests,
      figures.overspend,
      100 * figures.stranded / figures.limit,
      100 * figures.writtenOff / figures.limit,
      1_000 * figures.rowsWritten / figures.requests,
      1_000 * figures.transactions / figures.requests,
    ]),
  };
}

function createGoals(results: readonly CaseResult[]): Goal[] {
  const own = results.filter((each) => each.policy === ESCROW_POLICY);
  return own.flatMap(({ mix, budgetCase, figures }) => {
    const name = `${mix.name}, ${budgetCase.name}`;
    const perThousand = 1_000 / figures.requests;
    return [
      createAtMostGoal(`overspend, ${name}`, {
        bound: 0,
        unit: "tokens",
        value: figures.overspend,
      }),
      createAtMostGoal(`avoidable refusals, ${name}`, {
        bound: 1,
        unit: "in 1,000",
        value: figures.avoidableRefusals * perThousand,
      }),
      createAtLeastGoal(`requests per row written, ${name}`, {
        bound: 50,
        unit: "",
        value: figures.requests / Math.max(1, figures.rowsWritten),
      }),
    ];
  });
}
