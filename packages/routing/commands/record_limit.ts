/** Records the limits that targets name, and the turns that this VM uses. */
import type { StoreTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import type { TargetLimit } from "../target_state.ts";

/** What an answer of a target says of its limit on requests. */
export interface LimitNotice {
  /** Requests per second from all VMs together; absent if it names no limit. */
  readonly perSecond?: number;
  /** A time at which this was true. */
  readonly at: StoreTime;
}

/**
 * Records what a target says of its limit, unless something newer is known.
 * Returns whether the limit has changed.
 */
export function recordLimit(
  state: RoutingState,
  target: TargetId,
  notice: LimitNotice,
): boolean {
  const record = state.targets.get(target);
  if (record === undefined) return false;
  const { limit: known, ...rest } = record;
  if (known === undefined && notice.perSecond === undefined) return false;
  if (known !== undefined && notice.at < known.at) return false;
  const limit: TargetLimit = {
    ...notice,
    ...(known?.usedTurn === undefined ? {} : { usedTurn: known.usedTurn }),
  };
  state.targets.put({ ...rest, limit });
  return known?.perSecond !== notice.perSecond;
}

/** Records that this VM uses a turn at a target that limits its requests. */
export function recordTurn(
  state: RoutingState,
  target: TargetId,
  turn: StoreTime,
): RoutingState {
  const known = state.targets.get(target);
  if (known?.limit === undefined) return state;
  state.targets.put({ ...known, limit: { ...known.limit, usedTurn: turn } });
  return state;
}
