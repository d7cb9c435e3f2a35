/** Updates the routing state to the targets of a new configuration. */
import type {
  FleetConfiguration,
  MonotonicTime,
  ServiceConfig,
} from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { createTargetState } from "../target_state.ts";

/**
 * Adds new targets, removes those that are no longer configured, and keeps the
 * state of the rest under their new settings. A target that joins a service
 * which already has targets begins with a slow start.
 */
export function applyTargets(
  state: RoutingState,
  input: {
    readonly configuration: FleetConfiguration;
    readonly now: MonotonicTime;
    /**
     * Number of live entry VMs in this region, which share the capacity of its
     * links; 1 if absent.
     */
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
    state.links.changeLinks(configuration.links, {
      region: state.region,
      vms,
      now,
    });
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
