/** Every experiment, in the order in which `anvilrail bench` runs them. */
import { membershipCostExperiment } from "./membership/membership_cost_experiment.ts";
import { decisionsExperiment } from "./capacity/decisions_experiment.ts";
import { dataPlaneExperiment } from "./data_plane/data_plane_experiment.ts";
import type { Experiment } from "./report/experiment.ts";

/** Each package of experiments adds a line here. */
export const EXPERIMENTS: readonly Experiment[] = [
  membershipCostExperiment,
  decisionsExperiment,
  dataPlaneExperiment,
];
