/** Seeded load and failure experiments and their reports. */
export { SeededRandom } from "./harness/random.ts";
export type { RowWriterFacts } from "./harness/run_row_writers.ts";
export {
  FAR_ROUND_TRIP,
  ROW_TRANSACTION_TIME,
  runRowWriters,
} from "./harness/run_row_writers.ts";
export { VirtualClock } from "./harness/virtual_clock.ts";
export { EXPERIMENTS } from "./experiments.ts";
export type {
  Experiment,
  ExperimentResult,
  Goal,
} from "./report/experiment.ts";
export { formatFigure, formatGoal } from "./report/markdown.ts";
export type { ExperimentRun } from "./report/result.ts";
export { runExperiment } from "./report/result.ts";
export { writeReports } from "./report/write_reports.ts";
