/** Time and allocations of single decisions by size. */
import { SeededRandom } from "../harness/random.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type Figures,
  type Goal,
} from "../report/experiment.ts";
import {
  DECISION_PROBES,
  type DecisionProbe,
  PROBE_SIZES,
} from "./decision_probes.ts";
import {
  type CallCost,
  FULL_EFFORT,
  measureCalls,
  QUICK_EFFORT,
} from "./measure_calls.ts";
import { measureStates } from "./state_sizes.ts";

interface ProbeResult {
  readonly probe: DecisionProbe;
  readonly size: number;
  readonly cost: CallCost;
}

/** The experiment as `anvilrail bench` runs it. */
export const decisionsExperiment: Experiment = {
  name: "decisions",
  description:
    "Time and allocations of each decision by number of targets, budgets, members and customers",
  quick: true,
  run: runDecisions,
};

function runDecisions(options: ExperimentOptions): Promise<Figures> {
  const results = DECISION_PROBES.flatMap((probe) => {
    options.log(probe.name);
    return listSizes(probe, options).map((size) => ({
      probe,
      size,
      cost: measureProbe(probe, size, options),
    }));
  });
  return Promise.resolve({
    tables: [createTable(results), measureStates()],
    plots: [createPlot(results)],
    goals: DECISION_PROBES
      .filter((probe) => probe.onRequestPath)
      .map((probe) => createGrowthGoal(probe, results)),
    notes: [
      "The growth goal: the time at the largest size, divided by the time at the smallest, is at most the ratio of the logarithms of the sizes.",
    ],
  });
}

/** A quick run leaves out the largest size of what takes long to prepare. */
function listSizes(
  probe: DecisionProbe,
  options: ExperimentOptions,
): readonly number[] {
  const sizes = PROBE_SIZES[probe.unit];
  return options.quick && probe.slowToPrepare === true
    ? sizes.slice(0, -1)
    : sizes;
}

function measureProbe(
  probe: DecisionProbe,
  size: number,
  options: ExperimentOptions,
): CallCost {
  const call = probe.prepare(size, new SeededRandom(options.seed));
  return measureCalls(call, options.quick ? QUICK_EFFORT : FULL_EFFORT);
}

function createTable(results: readonly ProbeResult[]) {
  return {
    name: "decisions",
    title: "Cost of one decision",
    columns: [
      "decision",
      "on the request path",
      "sizes of",
      "size",
      "time (µs)",
      "allocated (bytes)",
    ],
    rows: results.map(({ probe, size, cost }) => [
      probe.name,
      probe.onRequestPath ? "yes" : "no",
      probe.unit,
      size,
      cost.micros,
      cost.bytes,
    ]),
  };
}

function createPlot(results: readonly ProbeResult[]) {
  return {
    name: "time",
    title: "Time of one decision by size",
    xTitle: "size",
    yTitle: "µs",
    logX: true,
    logY: true,
    points: results.map(({ probe, size, cost }) => ({
      series: `${probe.name} (${probe.unit})`,
      x: size,
      y: cost.micros,
    })),
  };
}

function createGrowthGoal(
  probe: DecisionProbe,
  results: readonly ProbeResult[],
): Goal {
  const own = results.filter((each) => each.probe === probe);
  const first = own[0]!;
  const last = own.at(-1)!;
  const bound = Math.log(last.size) / Math.log(first.size);
  return createAtMostGoal(
    `growth of ${probe.name} from ${first.size} to ${last.size} ${probe.unit}`,
    {
      bound: Number(bound.toFixed(2)),
      unit: "times",
      value: last.cost.micros / first.cost.micros,
    },
  );
}
