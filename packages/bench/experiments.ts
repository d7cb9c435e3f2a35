/** Every experiment, in the order in which `anvilrail bench` runs them. */
import { MEMBERSHIP_COST } from "./membership/membership_cost.ts";
import type { Experiment } from "./report/experiment.ts";

/** Each package of experiments adds a line here. */
export const EXPERIMENTS: readonly Experiment[] = [
  MEMBERSHIP_COST,
];
