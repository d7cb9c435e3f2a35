/** Counts the attempts that are open at each target. */
import type { TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/** Counts an attempt that starts. */
export function recordAttemptStart(
  state: RoutingState,
  target: TargetId,
): RoutingState {
  return changeInFlight(state, target, 1);
}

/** Counts an attempt that ended. */
export function recordAttemptEnd(
  state: RoutingState,
  target: TargetId,
): RoutingState {
  return changeInFlight(state, target, -1);
}

function changeInFlight(
  state: RoutingState,
  target: TargetId,
  change: number,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const targets = new Map(state.targets);
  targets.set(target, { ...known, inFlight: known.inFlight + change });
  return { ...state, targets };
}
