/** The experiments, in the order in which `anvilrail bench` runs them. */
import { budgetExperiment } from "./budget/budget_experiment.ts";
import { documentInForceExperiment } from "./document/document_in_force_experiment.ts";
import { documentScaleExperiment } from "./document/document_scale_experiment.ts";
import { membershipCostExperiment } from "./membership/membership_cost_experiment.ts";
import { decisionsExperiment } from "./capacity/decisions_experiment.ts";
import { dataPlaneExperiment } from "./data_plane/data_plane_experiment.ts";
import { controlCostExperiment } from "./data_plane/control_cost_experiment.ts";
import { streamMemoryExperiment } from "./data_plane/stream_memory_experiment.ts";
import { peerCostExperiment } from "./fleet/peer_cost_experiment.ts";
import { recoveryExperiment } from "./fleet/recovery_experiment.ts";
import { vmStartExperiment } from "./fleet/vm_start_experiment.ts";
import type { Experiment } from "./report/experiment.ts";
import { storeOutageExperiment } from "./store_traffic/store_outage_experiment.ts";
import { storeTrafficExperiment } from "./store_traffic/store_traffic_experiment.ts";
import { routingComparison } from "./routing/compare.ts";
import { fairnessExperiment } from "./routing/fairness.ts";
import { poisonExperiment } from "./routing/poison.ts";

/** All experiments. Every new experiment must be added to this list. */
export const EXPERIMENTS: readonly Experiment[] = [
  documentInForceExperiment,
  documentScaleExperiment,
  membershipCostExperiment,
  decisionsExperiment,
  storeTrafficExperiment,
  storeOutageExperiment,
  controlCostExperiment,
  dataPlaneExperiment,
  streamMemoryExperiment,
  budgetExperiment,
  routingComparison,
  peerCostExperiment,
  vmStartExperiment,
  recoveryExperiment,
  fairnessExperiment,
  poisonExperiment,
];
