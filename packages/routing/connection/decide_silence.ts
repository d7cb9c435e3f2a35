/**
 * Decides on a connection that has gone silent.
 *
 * A probe over a new connection tells a slow target from a dead path: a busy
 * target that has not begun to answer is given more time; when the target
 * answers the probe and has no reason to be silent, the old connection's path
 * is dead and so are the pooled connections beside it.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** What to do about a silent attempt. */
export enum SilenceAction {
  Wait = "wait",
  /** Ask the target for its load over a new connection. */
  Probe = "probe",
  /** Break the attempt and drop the target's pooled connections. */
  PathDead = "path-dead",
  /** Break the attempt and count a failure against the target. */
  TargetDead = "target-dead",
}

/** What a probe over a new connection found. */
export interface ProbeResult {
  readonly at: MonotonicTime;
  /** Absent if the target did not answer. */
  readonly load?: { readonly running: number; readonly queued: number };
}

/** A connection on which nothing arrives. */
export interface SilentAttempt {
  readonly lastProgress: MonotonicTime;
  /** Whether any part of the answer has arrived. */
  readonly begun: boolean;
  readonly progressTimeout: Millis;
  /** Requests the target runs well at once. */
  readonly capacity: number;
  /** The newest probe since the silence began. */
  readonly probe?: ProbeResult;
}

/** Silences, in progress timeouts, that a busy target is allowed in all. */
const MAX_TIMEOUTS = 4;

/** Returns what to do about a silent attempt. */
export function decideSilence(
  silent: SilentAttempt,
  now: MonotonicTime,
): SilenceAction {
  const silence = now - silent.lastProgress;
  if (silence < silent.progressTimeout) return SilenceAction.Wait;
  const probe = silent.probe;
  if (probe === undefined || probe.at < silent.lastProgress) {
    return SilenceAction.Probe;
  }
  if (probe.load === undefined) return SilenceAction.TargetDead;
  if (!isBusy(silent, probe.load)) return SilenceAction.PathDead;
  if (silence >= MAX_TIMEOUTS * silent.progressTimeout) {
    return SilenceAction.PathDead;
  }
  const stale = now - probe.at >= silent.progressTimeout;
  return stale ? SilenceAction.Probe : SilenceAction.Wait;
}

function isBusy(
  silent: SilentAttempt,
  load: { readonly running: number; readonly queued: number },
): boolean {
  // A stream that has begun holds a slot, so a queue does not excuse it.
  if (silent.begun) return false;
  return load.queued > 0 || load.running >= silent.capacity;
}
