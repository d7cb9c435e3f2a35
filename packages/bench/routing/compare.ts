/**
 * Compares routing policies: each case runs every policy on the same arrivals.
 */
import { SeededRandom } from "../harness/random.ts";
import { createArrivals } from "../harness/workload.ts";
import {
  createAtLeastGoal,
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type FigurePlot,
  type FigureTable,
  type Goal,
} from "../report/experiment.ts";
import {
  ARRIVAL_DURATION,
  CASES,
  DRAIN_DURATION,
  listWaves,
  type RoutingCase,
  type RoutingUser,
  USERS,
} from "./cases.ts";
import { Fleet } from "./fleet.ts";
import {
  ANVILRAIL_POLICY,
  LEAST_REPORTED_POLICY,
  POLICIES,
  QUICK_POLICIES,
  type RoutingPolicy,
} from "./policy.ts";

/** One run of a policy in a case, with the fleet as it was left at the end. */
export interface CaseRun {
  readonly user: RoutingUser;
  readonly case: RoutingCase;
  readonly policy: RoutingPolicy;
  readonly fleet: Fleet;
}

/**
 * Runs one policy in one case. Runs with the same seed get the same arrivals.
 */
export function runCase(
  user: RoutingUser,
  options: {
    readonly case: RoutingCase;
    readonly policy: RoutingPolicy;
    readonly seed: number;
  },
): CaseRun {
  const { case: each, policy, seed } = options;
  const random = new SeededRandom(seed);
  const fleet = new Fleet({
    size: user.size,
    policy,
    random: random.createBranch("fleet"),
    ...each.reportLag === undefined ? {} : { reportLag: each.reportLag },
  });
  fleet.sendAll(createArrivals({
    mix: user.mix,
    random: random.createBranch("arrivals"),
    requestsPerSecond: each.steadyLoad * user.capacity,
    duration: ARRIVAL_DURATION,
    waves: listWaves(each, user.capacity),
  }));
  each.scheduleFaults?.(fleet);
  fleet.clock.runSynchronouslyUntil(ARRIVAL_DURATION + DRAIN_DURATION);
  return { user, case: each, policy, fleet };
}

/** Runs all policies in all cases for both organizations. */
export const routingComparison: Experiment = {
  name: "routing-comparison",
  description:
    "Choice of target, admission and retries against random, round robin and least reported load",
  quick: true,
  run: (options) => Promise.resolve(runComparison(options)),
};

function runComparison(options: ExperimentOptions) {
  const runs: CaseRun[] = [];
  const cases = CASES.filter((each) => !options.quick || each.quick);
  const policies = options.quick ? QUICK_POLICIES : POLICIES;
  for (const user of USERS) {
    for (const each of cases) {
      options.log(`${user.mix.name}: ${each.name}`);
      for (const policy of policies) {
        runs.push(runCase(user, { case: each, policy, seed: options.seed }));
      }
    }
  }
  return {
    tables: [createLatencyTable(runs), createOutcomeTable(runs)],
    plots: USERS.map((user) => createPlot(user, runs)),
    goals: createGoals(runs),
    notes: NOTES,
  };
}

const NOTES = [
  "A request that got no whole answer counts with its whole deadline in the times to the first token, so that refusing does not look like speed.",
  "The baselines send each request at once, retry up to three times without a budget, and give a silent attempt up after ten seconds.",
  "The prefix hit share is counted when a job is submitted, by a mirror of the engine's cache.",
];

function createLatencyTable(runs: readonly CaseRun[]): FigureTable {
  return {
    name: "latency",
    title: "Times to the first token and between tokens",
    columns: [
      "user",
      "case",
      "policy",
      "top p50 (ms)",
      "top p95 (ms)",
      "top p99 (ms)",
      "all p50 (ms)",
      "all p95 (ms)",
      "all p99 (ms)",
      "gap p50 (ms)",
      "gap p95 (ms)",
      "gap p99 (ms)",
    ],
    rows: runs.map((run) => {
      const { outcomes } = run.fleet;
      const top = outcomes.readFirstTokenTimes(outcomes.findTopPriority());
      const all = outcomes.allFirstTokenTimes.readSummary();
      const tokenIntervals = outcomes.tokenIntervals.readSummary();
      return [
        ...describeRun(run),
        ...[top, all, tokenIntervals].flatMap((each) =>
          [each.p50, each.p95, each.p99].map(Math.round)
        ),
      ];
    }),
  };
}

/** Plots the share of requests answered in time, one series per policy. */
function createPlot(user: RoutingUser, runs: readonly CaseRun[]): FigurePlot {
  const cases = [...new Set(runs.map((run) => run.case))];
  return {
    name: `routing-${user.mix.name}`,
    title: `${user.mix.name}: answered in time, by case (${
      cases.map((each, index) => `${index + 1} ${each.name}`).join(", ")
    })`,
    xTitle: "case",
    yTitle: "answered in time (%)",
    points: runs.filter((run) => run.user === user).map((run) => ({
      series: run.policy.name,
      x: cases.indexOf(run.case) + 1,
      y: 100 * run.fleet.outcomes.inTime / run.fleet.outcomes.offered,
    })),
  };
}

function createOutcomeTable(runs: readonly CaseRun[]): FigureTable {
  return {
    name: "outcomes",
    title: "What became of the requests",
    columns: [
      "user",
      "case",
      "policy",
      "offered",
      "in time (%)",
      "late (%)",
      "failed (%)",
      "refused (%)",
      "refusals by cause",
      "amplification",
      "prefix hits (%)",
      "link (MB)",
    ],
    rows: runs.map((run) => {
      const { outcomes } = run.fleet;
      const { offered, inTime, late, failed, complete } = outcomes;
      const refused = offered - complete - failed;
      const causes = [...outcomes.refusals]
        .map(([kind, count]) => `${kind} ${count}`).join(", ");
      return [
        ...describeRun(run),
        offered,
        ...[inTime, late, failed, refused]
          .map((count) => computeRounded(100 * count / offered, 1)),
        causes,
        computeRounded(outcomes.computeRetryAmplification(), 3),
        computeRounded(100 * run.fleet.computeHitShare(), 1),
        computeRounded(run.fleet.readLinkBytes() / 1e6, 1),
      ];
    }),
  };
}

function createGoals(runs: readonly CaseRun[]): Goal[] {
  const firstTokenGoals = USERS.map((user) => {
    const anvilrail = findRun(runs, {
      user,
      name: "wave",
      policy: ANVILRAIL_POLICY,
    });
    const leastReported = findRun(runs, {
      user,
      name: "wave",
      policy: LEAST_REPORTED_POLICY,
    });
    const value = computeRounded(
      readTopPriorityP95(leastReported) / readTopPriorityP95(anvilrail),
      2,
    );
    const name =
      `${user.mix.name}: p95 first token of the top priority in the wave, least reported load over anvilrail`;
    return createAtLeastGoal(name, { bound: 2, unit: "times", value });
  });
  const amplification = Math.max(
    ...runs.filter((run) => run.policy === ANVILRAIL_POLICY)
      .map((run) => run.fleet.outcomes.computeRetryAmplification()),
  );
  return [
    ...firstTokenGoals,
    createAtMostGoal("retry amplification in any case", {
      bound: 1.1,
      unit: "attempts a request",
      value: computeRounded(amplification, 3),
    }),
  ];
}

function findRun(
  runs: readonly CaseRun[],
  wanted: {
    readonly user: RoutingUser;
    readonly name: string;
    readonly policy: RoutingPolicy;
  },
): CaseRun {
  return runs.find((run) =>
    run.user === wanted.user && run.case.name === wanted.name &&
    run.policy === wanted.policy
  )!;
}

function readTopPriorityP95(run: CaseRun): number {
  const { outcomes } = run.fleet;
  return outcomes.readFirstTokenTimes(outcomes.findTopPriority()).p95;
}

function describeRun(run: CaseRun): string[] {
  return [run.user.mix.name, run.case.name, run.policy.name];
}

/** Rounds a value to a number of decimal places. */
export function computeRounded(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
