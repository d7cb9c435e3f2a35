/** Records whether a target answers over a new connection. */
import type { MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/**
 * Records a probe or report call that was answered or not. A target that does
 * not answer gets nothing new until it does, or one attempt at a time after a
 * while, and then starts slowly. The bound on ejections does not apply: this is
 * no judgement on its answers.
 */
export function recordProbe(
  state: RoutingState,
  target: TargetId,
  input: { readonly answered: boolean; readonly now: MonotonicTime },
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  if (!input.answered) {
    const { report: _, ...rest } = known;
    state.targets.put({ ...rest, unreachableSince: input.now });
    return state;
  }
  if (known.unreachableSince === undefined) return state;
  const { unreachableSince: _, ejectedUntil: __, ...rest } = known;
  state.targets.put({ ...rest, failures: 0, slowStartFrom: input.now });
  return state;
}
