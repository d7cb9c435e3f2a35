/**
 * Measures time and allocations of single decisions by the size of the fleet.
 */
import { SeededRandom } from "../harness/random.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
  type Goal,
} from "../report/experiment.ts";
import {
  BENCHMARK_SIZES,
  DECISION_BENCHMARKS,
  type DecisionBenchmark,
} from "./decision_benchmarks.ts";
import {
  type CallCost,
  FULL_EFFORT,
  measureCalls,
  QUICK_EFFORT,
} from "./measure_calls.ts";
import { measureStates } from "./state_sizes.ts";

interface BenchmarkResult {
  readonly benchmark: DecisionBenchmark;
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

function runDecisions(options: ExperimentOptions): Promise<ExperimentResult> {
  const results = DECISION_BENCHMARKS.flatMap((benchmark) => {
    options.log(benchmark.name);
    return listSizes(benchmark, options).map((size) => ({
      benchmark,
      size,
      cost: measureBenchmark(benchmark, size, options),
    }));
  });
  return Promise.resolve({
    tables: [createTable(results), measureStates()],
    plots: [createPlot(results)],
    goals: DECISION_BENCHMARKS
      .filter((benchmark) => benchmark.onRequestPath)
      .map((benchmark) => createGrowthGoal(benchmark, results)),
    notes: [
      "Growth goals: the ratio of the times at the largest and the smallest size is at most the ratio of the logarithms of these sizes.",
    ],
  });
}

/** Quick runs skip the largest size of benchmarks that are slow to prepare. */
function listSizes(
  benchmark: DecisionBenchmark,
  options: ExperimentOptions,
): readonly number[] {
  const sizes = BENCHMARK_SIZES[benchmark.unit];
  return options.quick && benchmark.slowToPrepare === true
    ? sizes.slice(0, -1)
    : sizes;
}

function measureBenchmark(
  benchmark: DecisionBenchmark,
  size: number,
  options: ExperimentOptions,
): CallCost {
  const call = benchmark.prepare(size, new SeededRandom(options.seed));
  return measureCalls(call, options.quick ? QUICK_EFFORT : FULL_EFFORT);
}

function createTable(results: readonly BenchmarkResult[]) {
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
    rows: results.map(({ benchmark, size, cost }) => [
      benchmark.name,
      benchmark.onRequestPath ? "yes" : "no",
      benchmark.unit,
      size,
      cost.micros,
      cost.bytes,
    ]),
  };
}

function createPlot(results: readonly BenchmarkResult[]) {
  return {
    name: "time",
    title: "Time of one decision by size",
    xTitle: "size",
    yTitle: "µs",
    logX: true,
    logY: true,
    points: results.map(({ benchmark, size, cost }) => ({
      series: `${benchmark.name} (${benchmark.unit})`,
      x: size,
      y: cost.micros,
    })),
  };
}

/** The goal is that time grows at most with the logarithm of the size. */
function createGrowthGoal(
  benchmark: DecisionBenchmark,
  results: readonly BenchmarkResult[],
): Goal {
  const benchmarkResults = results.filter((each) =>
    each.benchmark === benchmark
  );
  const first = benchmarkResults[0]!;
  const last = benchmarkResults.at(-1)!;
  const bound = Math.log(last.size) / Math.log(first.size);
  return createAtMostGoal(
    `growth of ${benchmark.name} from ${first.size} to ${last.size} ${benchmark.unit}`,
    {
      bound: Number(bound.toFixed(2)),
      unit: "times",
      value: last.cost.micros / first.cost.micros,
    },
  );
}
