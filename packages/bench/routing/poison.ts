/**
 * Measures how many targets are lost to poison requests, which crash each
 * engine that processes them, when their callers send them again after a
 * failure.
 */
import type { Millis } from "../../core/mod.ts";
import { SeededRandom } from "../harness/random.ts";
import { type Arrival, createArrivals } from "../harness/workload.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
} from "../report/experiment.ts";
import { type RoutingUser, USERS } from "./cases.ts";
import { computeRounded } from "./compare.ts";
import { Fleet } from "./fleet.ts";
import { RequestEnd } from "./outcomes.ts";
import {
  ANVILRAIL_POLICY,
  LEAST_REPORTED_POLICY,
  type RoutingPolicy,
} from "./policy.ts";

const POISON_REQUESTS = 12;
const QUICK_POISON_REQUESTS = 3;
const POISON_INTERVAL: Millis = 30_000;
const POISON_KEY_PREFIX = "poison-";
const MAX_RESENDS = 5;
const RESEND_DELAY: Millis = 1_000;
/** Arrival rate of harmless requests as a fraction of the capacity. */
const LOAD_SHARE = 0.4;
const DRAIN_DURATION: Millis = 120_000;

/** Counts the targets that each poison request crashes. */
export const poisonExperiment: Experiment = {
  name: "routing-poison",
  description: "Targets lost per request that crashes each target it runs on",
  quick: true,
  run: (options) => Promise.resolve(runPoison(options)),
};

/** Effects of the poison requests of one run. */
export interface PoisonResult {
  /** Number of targets crashed by each poison request. */
  readonly crashes: readonly number[];
  /** Number of harmless requests that were quarantined. */
  readonly wronglyQuarantined: number;
  readonly harmlessFailed: number;
  /** Number of harmless requests sent. */
  readonly harmless: number;
}

function runPoison(options: ExperimentOptions) {
  const count = options.quick ? QUICK_POISON_REQUESTS : POISON_REQUESTS;
  const runs = USERS.flatMap((user) =>
    [LEAST_REPORTED_POLICY, ANVILRAIL_POLICY].map((policy) => ({
      user,
      policy,
      result: runPoisonCase(user, { policy, seed: options.seed, count }),
    }))
  );
  return {
    tables: [{
      name: "poison",
      title: "Poison requests, each sent up to six times",
      columns: [
        "user",
        "policy",
        "targets lost each (mean)",
        "targets lost each (most)",
        "harmless requests",
        "wrongly quarantined",
        "harmless failed",
      ],
      rows: runs.map(({ user, policy, result }) => [
        user.mix.name,
        policy.name,
        computeRounded(computeMean(result.crashes), 2),
        Math.max(...result.crashes),
        result.harmless,
        result.wronglyQuarantined,
        result.harmlessFailed,
      ]),
    }],
    goals: runs.filter((run) => run.policy === ANVILRAIL_POLICY).map((run) =>
      createAtMostGoal(`${run.user.mix.name}: targets lost to one request`, {
        bound: 2,
        unit: "targets",
        value: Math.max(...run.result.crashes),
      })
    ),
    notes: [
      "The caller sends a poison request again a second after each failure, five times, through any entry VM.",
    ],
  };
}

/** Runs moderate traffic that contains poison requests. */
export function runPoisonCase(
  user: RoutingUser,
  options: {
    readonly policy: RoutingPolicy;
    readonly seed: number;
    /** Number of poison requests. */
    readonly count: number;
  },
): PoisonResult {
  const duration = POISON_INTERVAL * (options.count + 1);
  const random = new SeededRandom(options.seed);
  const fleet = new Fleet({
    size: user.size,
    policy: options.policy,
    random: random.createBranch("fleet"),
  });
  const arrivals = createArrivals({
    mix: user.mix,
    random: random.createBranch("arrivals"),
    requestsPerSecond: LOAD_SHARE * user.capacity,
    duration,
  });
  fleet.sendAll(arrivals);
  const poison = new PoisonSender(fleet, {
    arrivals,
    count: options.count,
  });
  fleet.clock.runSynchronouslyUntil(duration + DRAIN_DURATION);
  const quarantined = [...fleet.listQuarantined()];
  return {
    crashes: poison.listCrashes(),
    wronglyQuarantined: quarantined
      .filter((digest) => !digest.startsWith(POISON_KEY_PREFIX)).length,
    harmlessFailed: fleet.outcomes.failed - poison.failed,
    harmless: arrivals.length,
  };
}

/**
 * Sends poison requests at fixed intervals, and each one again until it
 * completes or the resends are used up.
 */
class PoisonSender {
  readonly #fleet: Fleet;
  #failed = 0;

  constructor(
    fleet: Fleet,
    options: { readonly arrivals: readonly Arrival[]; readonly count: number },
  ) {
    this.#fleet = fleet;
    const modelArrivals = options.arrivals.filter((each) =>
      each.outputTokens > 0
    );
    for (let index = 0; index < options.count; index++) {
      const at = POISON_INTERVAL * (index + 1);
      const requestKey = `${POISON_KEY_PREFIX}${index}`;
      const arrival = { ...modelArrivals[index]!, at, requestKey };
      fleet.clock.schedule(at, () => this.#send(arrival, MAX_RESENDS));
    }
  }

  /** Number of sends of poison requests that failed; refusals do not count. */
  get failed(): number {
    return this.#failed;
  }

  /** Returns the number of targets that each poison request crashed. */
  listCrashes(): number[] {
    return [...this.#fleet.outcomes.poisonCrashes.values()];
  }

  #send(arrival: Arrival, resends: number): void {
    this.#fleet.send({
      arrival,
      isPoison: true,
      onEnd: (end) => {
        if (end === RequestEnd.Failed) this.#failed++;
        if (end === RequestEnd.Complete || resends === 0) return;
        this.#fleet.clock.schedule(RESEND_DELAY, () => {
          const at = this.#fleet.clock.readMonotonic();
          this.#send({ ...arrival, at }, resends - 1);
        });
      },
    });
  }
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
