/** Records whether targets are reachable over a new connection. */
import type { MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";

/**
 * Records whether a target answered a probe or a poll of its load. If it did
 * not, its last report is discarded and it gets no new requests until it
 * answers; after a while it gets one attempt at a time. Once it answers it
 * begins with a slow start. The bound on the share of ejected targets does not
 * apply, because a probe does not judge the target's answers.
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
