/** Every experiment, in the order in which `anvilrail bench` runs them. */
import { documentInForceExperiment } from "./document/document_in_force_experiment.ts";
import { documentScaleExperiment } from "./document/document_scale_experiment.ts";
import { membershipCostExperiment } from "./membership/membership_cost_experiment.ts";
import { decisionsExperiment } from "./capacity/decisions_experiment.ts";
import { dataPlaneExperiment } from "./data_plane/data_plane_experiment.ts";
import type { Experiment } from "./report/experiment.ts";

/** Each package of experiments adds a line here. */
export const EXPERIMENTS: readonly Experiment[] = [
  documentInForceExperiment,
  documentScaleExperiment,
  membershipCostExperiment,
  decisionsExperiment,
  dataPlaneExperiment,
];
