/** Records the pauses that targets ask this VM for. */
import type { MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/**
 * Records that a target wants no requests from this VM until a time. The latest
 * time counts, since answers may overtake each other. Returns whether it is
 * later than known.
 */
export function recordPause(
  state: RoutingState,
  target: TargetId,
  until: MonotonicTime,
): boolean {
  const known = state.targets.get(target);
  if (known === undefined) return false;
  if (known.pausedUntil !== undefined && until <= known.pausedUntil) {
    return false;
  }
  state.targets.put({ ...known, pausedUntil: until });
  return true;
}
