/** Counts the attempts that are open at each target and how they end. */
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

/** What is known when an attempt starts. */
export interface AttemptStart {
  readonly now: MonotonicTime;
  readonly prefixes?: readonly PrefixDigest[];
  /** Tokens of the prompt; none for plain services. */
  readonly promptTokens?: Tokens;
  /** Bytes that the attempt is expected to move in both directions. */
  readonly expectedBytes?: Bytes;
}

/** What is known when an attempt ends. */
export interface AttemptFinish {
  readonly now: MonotonicTime;
  readonly end: AttemptEnd;
  /** The prompt's tokens, if no token of the answer had come. */
  readonly unreadTokens?: Tokens;
  /** The figure given at the start. */
  readonly expectedBytes?: Bytes;
  /** Bytes that it moved in both directions. */
  readonly bytes?: Bytes;
  /** The path was proved dead while the target lives: not the target's fault. */
  readonly pathDead?: boolean;
}

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION: Millis = 5_000;
const LONGEST_EJECTION: Millis = 60_000;

/** Most of a group that may be ejected at once. */
const EJECTED_SHARE = 1 / 3;

/** Counts an attempt that starts. */
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

/** Counts a prompt as read: the first token of its answer has come. */
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

/** Counts an attempt that ended; repeated failures eject the target. */
export function recordAttemptEnd(
  state: RoutingState,
  target: TargetId,
  finish?: AttemptFinish,
): RoutingState {
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const inFlight = Math.max(0, known.inFlight - 1);
  const unread = known.unreadTokens - (finish?.unreadTokens ?? 0);
  // Without attempts nothing is unread, whatever a caller left out.
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
    return dropFailures(target, finish.now);
  }
  if (finish.end === AttemptEnd.Cancelled || finish.pathDead === true) {
    return target;
  }
  return addFailure(state, target, finish.now);
}

function dropFailures(target: TargetState, now: MonotonicTime): TargetState {
  const health = computeHealth(target, now);
  const out = health === TargetHealth.Ejected ||
    health === TargetHealth.Unreachable;
  // An answer of an attempt from before says nothing of the present.
  if (out) return target;
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
  const length = FIRST_EJECTION * 2 ** target.ejections;
  return {
    ...target,
    failures,
    ejections: target.ejections + 1,
    ejectedUntil: now + Math.min(LONGEST_EJECTION, length),
  };
}

function isEjectable(
  state: RoutingState,
  target: TargetState,
  now: MonotonicTime,
): boolean {
  const group = state.targets.listService(target.config.service);
  const ejected = group
    .filter((each) => each.config.id !== target.config.id)
    .filter((each) => computeHealth(each, now) === TargetHealth.Ejected);
  return ejected.length + 1 <= group.length * EJECTED_SHARE;
}
