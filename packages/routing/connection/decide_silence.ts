/**
 * Decides what to do about an attempt on whose connection nothing arrives.
 *
 * A probe over a new connection distinguishes a slow target from a dead network
 * path. A busy target that has not begun to answer gets more time, up to a
 * limit. If a target answers the probe and gets no more time, the path of the
 * old connection counts as dead, and so do the target's pooled connections.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** What to do about a silent attempt. */
export enum SilenceAction {
  /** Keep waiting. */
  Wait = "wait",
  /** Request the target's load over a new connection. */
  Probe = "probe",
  /** Abort the attempt and discard the target's pooled connections. */
  PathDead = "path-dead",
  /** Abort the attempt and count a failure of the target. */
  TargetDead = "target-dead",
}

/** Result of a probe over a new connection. */
export interface ProbeResult {
  readonly at: MonotonicTime;
  /** Absent if the target did not answer. */
  readonly load?: { readonly running: number; readonly queued: number };
}

/** An attempt on whose connection nothing arrives. */
export interface SilentAttempt {
  readonly lastProgress: MonotonicTime;
  /** Whether any part of the answer has arrived. */
  readonly begun: boolean;
  readonly progressTimeout: Millis;
  /** Number of requests that the target can run concurrently. */
  readonly capacity: number;
  /** The latest probe, if any. One from before the last progress is ignored. */
  readonly probe?: ProbeResult;
}

/** Maximum silence of a busy target, as a multiple of the progress timeout. */
const MAX_TIMEOUTS = 4;

/** Returns the action for a silent attempt at a given time. */
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
  // A stream that has begun occupies a slot, so a queue does not explain silence.
  if (silent.begun) return false;
  return load.queued > 0 || load.running >= silent.capacity;
}
