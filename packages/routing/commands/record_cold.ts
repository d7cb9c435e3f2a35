/** Records for how long targets are cold, and the turns that this VM uses. */
import type { MonotonicTime, StoreTime, TargetId } from "../../core/mod.ts";
import type { ColdTurns } from "../cold_target/compute_cold_turns.ts";
import type { RoutingState } from "../state.ts";

/** Records until when a target is cold, or that it is not if undefined. */
export function recordCold(
  state: RoutingState,
  target: TargetId,
  cold:
    | { readonly until: MonotonicTime; readonly turns: ColdTurns }
    | undefined,
): void {
  const record = state.targets.get(target);
  if (record === undefined) return;
  const known = record.cold;
  if (known?.until === cold?.until && known?.turns === cold?.turns) return;
  const { cold: _, ...rest } = record;
  state.targets.put(
    cold === undefined
      ? rest
      : { ...rest, cold: { ...known, until: cold.until, turns: cold.turns } },
  );
}

/** Records that this VM uses a turn at a cold target. */
export function recordColdTurn(
  state: RoutingState,
  target: TargetId,
  turn: StoreTime,
): void {
  const known = state.targets.get(target);
  if (known?.cold === undefined) return;
  state.targets.put({ ...known, cold: { ...known.cold, usedTurn: turn } });
}
