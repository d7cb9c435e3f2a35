/** Describes the routing state for the state dump of the process. */
import type { MonotonicTime } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { computeHealth } from "../target_state.ts";
import { computeLoad } from "./compute_load.ts";

/** Returns targets, number of known prefixes and link usage as plain data. */
export function describeRouting(state: RoutingState, now: MonotonicTime) {
  return {
    targets: [...state.targets.values()].map((target) => ({
      id: target.config.id,
      service: target.config.service,
      region: target.config.region,
      health: computeHealth(target, now),
      inFlight: target.inFlight,
      load: computeLoad(state, target, now),
      reportAge: target.report === undefined
        ? undefined
        : now - target.report.measuredAt,
      failures: target.failures,
    })),
    prefixes: state.prefixes.size,
    links: state.links.listUsage(),
  };
}
