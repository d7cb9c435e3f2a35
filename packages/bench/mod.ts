/** Seeded load and fault experiments with reports. */
export { EXPERIMENTS } from "./experiments.ts";
export type { Experiment, Figures, Goal } from "./report/experiment.ts";
export type { ExperimentRun } from "./report/result.ts";
export { runExperiment } from "./report/result.ts";
