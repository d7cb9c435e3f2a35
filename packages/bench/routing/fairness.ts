/**
 * Measures how evenly customers are served when all of them are backlogged and
 * send at very different rates.
 */
import { type Millis, MILLIS_PER_SECOND } from "../../core/mod.ts";
import { SeededRandom } from "../harness/random.ts";
import type { Arrival, WorkloadKind } from "../harness/workload.ts";
import {
  createAtLeastGoal,
  type Experiment,
  type ExperimentOptions,
} from "../report/experiment.ts";
import { type RoutingUser, USERS } from "./cases.ts";
import { computeRounded } from "./compare.ts";
import { Fleet } from "./fleet.ts";
import { computeJainIndex } from "./outcomes.ts";
import {
  ANVILRAIL_POLICY,
  LEAST_REPORTED_POLICY,
  type RoutingPolicy,
} from "./policy.ts";

const CUSTOMERS = 10;
const DURATION: Millis = 150_000;

/** Time after which every customer is backlogged; measurement starts here. */
const WARM_UP: Millis = 40_000;

/**
 * Requests per second of the smallest customer; the largest sends ten times as
 * many.
 */
const MIN_RATE = 1.5;

/**
 * Compares policies by Jain's fairness index of the tokens served per customer.
 */
export const fairnessExperiment: Experiment = {
  name: "routing-fairness",
  description: "Jain's index among backlogged customers of very unequal sizes",
  quick: true,
  run: (options) => Promise.resolve(runFairness(options)),
};

function runFairness(options: ExperimentOptions) {
  const rows = USERS.flatMap((user) =>
    (options.quick
      ? [ANVILRAIL_POLICY]
      : [LEAST_REPORTED_POLICY, ANVILRAIL_POLICY]).map((
        policy,
      ) => ({
        user,
        policy,
        served: computeServedTokens(user, { policy, seed: options.seed }),
      }))
  );
  return {
    tables: [{
      name: "fairness",
      title: "Tokens served to ten backlogged customers",
      columns: [
        "user",
        "policy",
        "least (tokens/s)",
        "most (tokens/s)",
        "Jain",
      ],
      rows: rows.map(({ user, policy, served }) => [
        user.mix.name,
        policy.name,
        ...[Math.min(...served), Math.max(...served)].map(computeRate),
        computeRounded(computeJainIndex(served), 3),
      ]),
    }],
    goals: rows.filter((row) => row.policy === ANVILRAIL_POLICY).map((row) =>
      createAtLeastGoal(`${row.user.mix.name}: Jain's index`, {
        bound: 0.95,
        unit: "",
        value: computeRounded(computeJainIndex(row.served), 3),
      })
    ),
    notes: [
      "All customers send the longest kind; the largest sends ten times as much as the smallest, and each more than its share.",
    ],
  };
}

/** Returns the number of tokens served to each customer after the warm-up. */
export function computeServedTokens(
  user: RoutingUser,
  options: { readonly policy: RoutingPolicy; readonly seed: number },
): number[] {
  const random = new SeededRandom(options.seed);
  const fleet = new Fleet({
    size: user.size,
    policy: options.policy,
    random: random.createBranch("fleet"),
  });
  const kind = user.mix.kinds[0]!;
  fleet.sendAll(createBacklog(kind, random.createBranch("arrivals")));
  fleet.clock.runSynchronouslyUntil(WARM_UP);
  const before = new Map(fleet.outcomes.servedTokens);
  fleet.clock.runSynchronouslyUntil(DURATION);
  return Array.from({ length: CUSTOMERS }, (_, index) => {
    const customer = formatCustomer(index);
    const served = fleet.outcomes.servedTokens.get(customer) ?? 0;
    return served - (before.get(customer) ?? 0);
  });
}

function createBacklog(kind: WorkloadKind, random: SeededRandom): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let index = 0; index < CUSTOMERS; index++) {
    const rate = MIN_RATE * (1 + index);
    const mean = MILLIS_PER_SECOND / rate;
    let at = random.drawExponential(mean);
    while (at < DURATION) {
      arrivals.push(createArrival(kind, { at, index, random }));
      at += random.drawExponential(mean);
    }
  }
  return arrivals;
}

function createArrival(
  kind: WorkloadKind,
  options: {
    readonly at: number;
    readonly index: number;
    readonly random: SeededRandom;
  },
): Arrival {
  const { at, index, random } = options;
  const customer = formatCustomer(index);
  const prompt = random.drawLognormal(kind.promptTokens, 0.6);
  const output = random.drawLognormal(kind.outputTokens, 0.5);
  return {
    at,
    requestKey: `${customer}/${at}`,
    customer,
    kind,
    promptTokens: kind.prefixTokens + Math.ceil(prompt),
    outputTokens: Math.min(kind.maxOutputTokens, Math.ceil(output)),
    prefix: { id: customer, tokens: kind.prefixTokens },
  };
}

function formatCustomer(index: number): string {
  return `customer-${index}`;
}

function computeRate(tokens: number): number {
  return computeRounded(tokens * MILLIS_PER_SECOND / (DURATION - WARM_UP), 1);
}
