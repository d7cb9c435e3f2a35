/**
 * Tracks which targets are leaving, from three sources: the VM list, the
 * targets' own reports, and notices or reports received from peers. A target
 * gets no new requests once any of them shows it as leaving.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import {
  computeHealth,
  type LeavingStatus,
  TargetHealth,
} from "../target_state.ts";

/** A notice that a target is leaving or not, as exchanged between VMs. */
export interface LeavingNotice {
  readonly target: TargetId;
  readonly leaving: boolean;
  /**
   * Time since the target reported it. This is an age and not a time, because
   * the clocks of VMs are not compared.
   */
  readonly age: Millis;
}

/** How much newer a notice must be to revoke one that a target is leaving. */
const REVOKE_MARGIN: Millis = 1_000;

/**
 * Applies the VM list. `leaving` has the targets that the list shows as leaving
 * or no longer contains; all other targets are no longer listed as leaving.
 */
export function applyListedTargets(
  state: RoutingState,
  leaving: ReadonlySet<TargetId>,
): RoutingState {
  for (const target of [...state.targets.values()]) {
    const listedLeaving = leaving.has(target.config.id);
    if (listedLeaving === target.listedLeaving) continue;
    state.targets.put({ ...target, listedLeaving });
  }
  return state;
}

/**
 * Records a notice of whether a target is leaving. The newest notice wins, and
 * one that revokes leaving must be newer by more than `REVOKE_MARGIN`.
 */
export function recordLeavingNotice(
  state: RoutingState,
  target: TargetId,
  notice: LeavingStatus,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const newest = known.leavingStatus;
  if (newest === undefined && !notice.leaving) return state;
  const margin = newest?.leaving === true && !notice.leaving
    ? REVOKE_MARGIN
    : 0;
  if (newest !== undefined && notice.at <= newest.at + margin) return state;
  state.targets.put({ ...known, leavingStatus: notice });
  return state;
}

/** Applies leaving notices received from a peer. */
export function applyLeavingNotices(
  state: RoutingState,
  input: {
    readonly notices: readonly LeavingNotice[];
    readonly now: MonotonicTime;
  },
): RoutingState {
  for (const { target, leaving, age } of input.notices) {
    recordLeavingNotice(state, target, { leaving, at: input.now - age });
  }
  return state;
}

/** Returns the leaving notices to send to peers. */
export function listLeavingNotices(
  state: RoutingState,
  now: MonotonicTime,
): LeavingNotice[] {
  return [...state.targets.values()].flatMap((target) =>
    target.leavingStatus === undefined ? [] : [{
      target: target.config.id,
      leaving: target.leavingStatus.leaving,
      age: now - target.leavingStatus.at,
    }]
  );
}

/** Returns whether a target is leaving; false if the target is not known. */
export function isLeaving(
  state: RoutingState,
  target: TargetId,
  now: MonotonicTime,
): boolean {
  const known = state.targets.get(target);
  return known !== undefined &&
    computeHealth(known, now) === TargetHealth.Leaving;
}
