/** Describes the routing state for the process's dump. */
import type { MonotonicTime } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import { computeHealth } from "../target_state.ts";
import { computeLoad } from "./compute_load.ts";

/** Returns the targets, prefixes and links as plain data. */
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
