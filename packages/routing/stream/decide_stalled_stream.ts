/**
 * Decides what to do about a stream from whose target nothing arrives, and that
 * another target may resume.
 *
 * Load it answers: a dead target, whose streams should go on elsewhere soon, and
 * a sound one that pauses for a second, as all of a service may at once. To move
 * on then would run each stream twice and use up the retries of those at dead
 * targets. A stream that can't move on is never ended for its silence.
 */
import type { Millis } from "../../core/mod.ts";

/** What to do about a stalled stream. */
export enum StallAction {
  Wait = "wait",
  /** Check whether the target's machine accepts connections. */
  Probe = "probe",
  /** End the attempt and resume the stream at another target. */
  MoveOn = "move-on",
}

/** A stream in progress and what is known of its target. */
export interface StalledStream {
  /** Time since the last event; since the attempt's start before the first. */
  readonly silence: Millis;
  readonly hasEvent: boolean;
  /** Goal of the route for the time to the first event. */
  readonly latencyGoal: Millis;
  /** Goal of the route for the longest pause between events. */
  readonly pauseGoal: Millis;
  /** Whether another run is allowed, and a target for it is usable. */
  readonly mayMoveOn: boolean;
  /** Whether the target is still listed. */
  readonly isListed: boolean;
  /** Result of a probe during the silence; undefined before it. */
  readonly isReachable: boolean | undefined;
  /** Whether most other targets of the service with streams are silent too. */
  readonly areOthersStalled: boolean;
}

/** Silence before the first event, as a multiple of its goal. */
const FIRST_EVENT_FACTOR = 3;

/** Silence between events, as a multiple of their goal, until a probe. */
const PROBE_FACTOR = 2;

/** The same until the stream moves on from a target that answers the probe. */
const MOVE_ON_FACTOR = 3;

/** Lower bounds of both times. */
const MIN_PROBE_TIME: Millis = 1_200;
const MIN_MOVE_ON_TIME: Millis = 1_800;

/** Returns the silence after which a stream is first looked at. */
export function computeStallTime(
  stream: Pick<StalledStream, "hasEvent" | "latencyGoal" | "pauseGoal">,
): Millis {
  const { hasEvent, latencyGoal, pauseGoal } = stream;
  return Math.max(
    MIN_PROBE_TIME,
    hasEvent ? PROBE_FACTOR * pauseGoal : FIRST_EVENT_FACTOR * latencyGoal,
  );
}

/** Returns what to do about a stream after some silence. */
export function decideStalledStream(stream: StalledStream): StallAction {
  const { silence, hasEvent, pauseGoal, isReachable } = stream;
  if (silence < computeStallTime(stream)) return StallAction.Wait;
  if (!stream.mayMoveOn) return StallAction.Wait;
  if (!stream.isListed) return StallAction.MoveOn;
  if (isReachable === undefined) return StallAction.Probe;
  if (!isReachable) return StallAction.MoveOn;
  if (stream.areOthersStalled) return StallAction.Wait;
  const moveOnTime = Math.max(MIN_MOVE_ON_TIME, MOVE_ON_FACTOR * pauseGoal);
  return !hasEvent || silence >= moveOnTime
    ? StallAction.MoveOn
    : StallAction.Wait;
}
