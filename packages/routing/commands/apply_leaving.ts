/**
 * Signs that targets are leaving: from the VM list, from their own word, and
 * from peers that heard their word. Whichever comes first stops new work.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { RoutingState } from "../state.ts";
import {
  computeHealth,
  type LeavingStatus,
  TargetHealth,
} from "../target_state.ts";

/** A target's word on leaving, as VMs pass it on. */
export interface LeavingNotice {
  readonly target: TargetId;
  readonly leaving: boolean;
  /** Time since the target said so; clocks of VMs are not compared. */
  readonly age: Millis;
}

/** How much later a word must be to take back that a target is leaving. */
const SIGN_SLACK: Millis = 1_000;

/** Folds in the VM list: targets it calls leaving, or no longer shows. */
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

/** Records a target's word on whether it is leaving; the newest word stands. */
export function recordLeavingNotice(
  state: RoutingState,
  target: TargetId,
  word: LeavingStatus,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const newest = known.leavingStatus;
  if (newest === undefined && !word.leaving) return state;
  const slack = newest?.leaving === true && !word.leaving ? SIGN_SLACK : 0;
  if (newest !== undefined && word.at <= newest.at + slack) return state;
  state.targets.put({ ...known, leavingStatus: word });
  return state;
}

/** Folds in what a peer heard. */
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

/** Returns the words on leaving to pass on to peers. */
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

/** Returns whether a target is known to be leaving. */
export function isLeaving(
  state: RoutingState,
  target: TargetId,
  now: MonotonicTime,
): boolean {
  const known = state.targets.get(target);
  return known !== undefined &&
    computeHealth(known, now) === TargetHealth.Leaving;
}
