/** Every experiment, in the order in which `anvilrail bench` runs them. */
import type { Experiment } from "./report/experiment.ts";
import { ROUTING_COMPARISON } from "./routing/compare.ts";

/** Each package of experiments adds a line here. */
export const EXPERIMENTS: readonly Experiment[] = [ROUTING_COMPARISON];
