/** Brings the state in line with the targets of a new configuration. */
import type {
  FleetConfiguration,
  MonotonicTime,
  ServiceConfig,
} from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { createTargetState } from "../target_state.ts";

/**
 * Adds new targets, drops removed ones and keeps what is known of the rest. A
 * target that joins a group which is already in use starts slowly.
 */
export function applyTargets(
  state: RoutingState,
  input: {
    readonly configuration: FleetConfiguration;
    readonly now: MonotonicTime;
    /** Live entry VMs of this region, which share its links; 1 if absent. */
    readonly vms?: number;
  },
): RoutingState {
  const { configuration, now } = input;
  state.vms.count = input.vms ?? 1;
  removeMissing(state, configuration);
  state.services.clear();
  for (const service of configuration.services.values()) {
    state.services.set(service.id, service);
    addTargets(state, service, now);
  }
  if (state.region !== undefined) {
    const vms = input.vms ?? 1;
    state.links.change(configuration.links, { region: state.region, vms, now });
  }
  return state;
}

function removeMissing(
  state: RoutingState,
  configuration: FleetConfiguration,
): void {
  const wanted = new Set(
    [...configuration.services.values()]
      .flatMap((service) => service.targets.map((target) => target.id)),
  );
  for (const { config } of [...state.targets.values()]) {
    if (!wanted.has(config.id)) state.targets.remove(config.id);
  }
}

function addTargets(
  state: RoutingState,
  service: ServiceConfig,
  now: MonotonicTime,
): void {
  const slowStart = state.targets.listRegions(service.id).length > 0;
  for (const config of service.targets) {
    const known = state.targets.get(config.id);
    const record = known === undefined
      ? createTargetState(config, { now, slowStart })
      : { ...known, config };
    state.targets.put(record);
  }
}
