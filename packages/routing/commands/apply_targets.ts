/** Brings the state in line with the targets of a new configuration. */
import type {
  FleetConfiguration,
  MonotonicTime,
  ServiceId,
  TargetId,
} from "../../core/mod.ts";
import { type RoutingState, TargetHealth, type TargetState } from "../state.ts";

/** Adds new targets, drops removed ones and keeps what is known of the rest. */
export function applyTargets(
  state: RoutingState,
  input: {
    readonly configuration: FleetConfiguration;
    readonly now: MonotonicTime;
  },
): RoutingState {
  const targets = new Map<TargetId, TargetState>();
  const byService = new Map<ServiceId, readonly TargetId[]>();
  for (const service of input.configuration.services.values()) {
    byService.set(service.id, service.targets.map((target) => target.id));
    for (const config of service.targets) {
      const known = state.targets.get(config.id);
      targets.set(config.id, {
        health: TargetHealth.Healthy,
        inFlight: 0,
        knownSince: input.now,
        ...known,
        config,
      });
    }
  }
  return { ...state, targets, byService };
}
