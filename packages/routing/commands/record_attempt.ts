/** Counts the open attempts at each target and records how attempts end. */
import type {
  Bytes,
  Millis,
  MonotonicTime,
  TargetId,
  Tokens,
} from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import type { PrefixDigest } from "../prefix_table.ts";
import type { RoutingState } from "../state.ts";
import {
  computeHealth,
  TargetHealth,
  type TargetState,
} from "../target_state.ts";

/** Data about an attempt that starts. */
export interface AttemptStart {
  readonly now: MonotonicTime;
  /** Prefixes of the prompt, which the target will hold in its cache. */
  readonly prefixes?: readonly PrefixDigest[];
  /** Tokens of the prompt; absent for plain services. */
  readonly promptTokens?: Tokens;
  /** Bytes that the attempt is expected to transfer in both directions. */
  readonly expectedBytes?: Bytes;
}

/** Data about an attempt that ended. */
export interface AttemptFinish {
  readonly now: MonotonicTime;
  readonly end: AttemptEnd;
  /** Tokens of the prompt, if the attempt ended before an answer token. */
  readonly unreadTokens?: Tokens;
  /** The value given at the start. */
  readonly expectedBytes?: Bytes;
  /** Bytes that the attempt transferred in both directions. */
  readonly bytes?: Bytes;
  /**
   * Whether the network path was found dead while the target is alive. Such an
   * attempt does not count as a failure of the target.
   */
  readonly pathDead?: boolean;
}

const FAILURES_TO_EJECT = 3;
/** Duration of the first ejection; it doubles with each further one. */
const FIRST_EJECTION: Millis = 5_000;
const MAX_EJECTION: Millis = 60_000;

/** Maximum share of a service's targets that may be ejected at once. */
const MAX_EJECTED_SHARE = 1 / 3;

/**
 * Counts an attempt that starts: its prompt as waiting for prefill, its prefixes
 * as cached at the target, and its expected bytes against the link to the
 * target's region.
 */
export function recordAttemptStart(
  state: RoutingState,
  target: TargetId,
  start?: AttemptStart,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  state.targets.put({
    ...known,
    inFlight: known.inFlight + 1,
    unreadTokens: known.unreadTokens + (start?.promptTokens ?? 0),
  });
  if (start === undefined) return state;
  const holder = { target, epoch: known.cacheEpoch };
  for (const prefix of start.prefixes ?? []) {
    state.prefixes.add(prefix, holder);
  }
  takeLinkBytes(state, known, start.expectedBytes ?? 0, start.now);
  return state;
}

/** Records that a prompt's prefill ended: the first answer token arrived. */
export function recordPrefillEnd(
  state: RoutingState,
  target: TargetId,
  tokens: Tokens,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const unreadTokens = Math.max(0, known.unreadTokens - tokens);
  state.targets.put({ ...known, unreadTokens });
  return state;
}

/**
 * Counts an attempt that ended. Repeated failures eject the target; a complete
 * answer resets its failures, unless it is ejected or unreachable.
 */
export function recordAttemptEnd(
  state: RoutingState,
  target: TargetId,
  finish?: AttemptFinish,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const inFlight = Math.max(0, known.inFlight - 1);
  const unread = known.unreadTokens - (finish?.unreadTokens ?? 0);
  // With no open attempts no prefill is left, even if callers omitted tokens.
  const unreadTokens = inFlight === 0 ? 0 : Math.max(0, unread);
  const counted = { ...known, inFlight, unreadTokens };
  if (finish === undefined) {
    state.targets.put(counted);
    return state;
  }
  const bytes = (finish.bytes ?? 0) - (finish.expectedBytes ?? 0);
  takeLinkBytes(state, known, bytes, finish.now);
  state.targets.put(applyFinish(state, counted, finish));
  return state;
}

function takeLinkBytes(
  state: RoutingState,
  target: TargetState,
  bytes: Bytes,
  now: MonotonicTime,
): void {
  if (bytes === 0 || target.config.region === state.region) return;
  state.links.take(target.config.region, bytes, now);
}

function applyFinish(
  state: RoutingState,
  target: TargetState,
  finish: AttemptFinish,
): TargetState {
  if (finish.end === AttemptEnd.Complete) {
    return clearFailures(target, finish.now);
  }
  if (finish.end === AttemptEnd.Cancelled || finish.pathDead === true) {
    return target;
  }
  return addFailure(state, target, finish.now);
}

function clearFailures(target: TargetState, now: MonotonicTime): TargetState {
  const health = computeHealth(target, now);
  const isExcluded = health === TargetHealth.Ejected ||
    health === TargetHealth.Unreachable;
  // The attempt began before the target was ejected or became unreachable, so
  // its answer says nothing about the target's present state.
  if (isExcluded) return target;
  const { ejectedUntil: _, unreachableSince: __, ...rest } = target;
  const cleared = { ...rest, failures: 0, ejections: 0 };
  return health === TargetHealth.Probation
    ? { ...cleared, slowStartFrom: now }
    : cleared;
}

function addFailure(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): TargetState {
  const failures = target.failures + 1;
  const health = computeHealth(target, now);
  if (health === TargetHealth.Ejected) return { ...target, failures };
  if (target.unreachableSince !== undefined) {
    return { ...target, failures, unreachableSince: now };
  }
  const due = failures >= FAILURES_TO_EJECT ||
    health === TargetHealth.Probation;
  if (!due || !isEjectable(state, target, now)) return { ...target, failures };
  const duration = FIRST_EJECTION * 2 ** target.ejections;
  return {
    ...target,
    failures,
    ejections: target.ejections + 1,
    ejectedUntil: now + Math.min(MAX_EJECTION, duration),
  };
}

function isEjectable(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): boolean {
  const serviceTargets = state.targets.listService(target.config.service);
  const ejected = serviceTargets
    .filter((each) => each.config.id !== target.config.id)
    .filter((each) => computeHealth(each, now) === TargetHealth.Ejected);
  return ejected.length + 1 <= serviceTargets.length * MAX_EJECTED_SHARE;
}
