/** Every experiment, in the order in which `anvilrail bench` runs them. */
import { decisionsExperiment } from "./capacity/decisions_experiment.ts";
import { dataPlaneExperiment } from "./data_plane/data_plane_experiment.ts";
import type { Experiment } from "./report/experiment.ts";
import { routingComparison } from "./routing/compare.ts";
import { fairnessExperiment } from "./routing/fairness.ts";
import { poisonExperiment } from "./routing/poison.ts";

/** Each package of experiments adds a line here. */
export const EXPERIMENTS: readonly Experiment[] = [
  decisionsExperiment,
  dataPlaneExperiment,
  routingComparison,
  fairnessExperiment,
  poisonExperiment,
];
