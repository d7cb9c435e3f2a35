/**
 * Times of a planned stop, and which new requests are admitted during it.
 *
 * Both count from the stop signal, as its sender does, who kills the process
 * when the stop timeout has passed. A process whose event loop is busy handles
 * the signal late, so the earliest time at which it can have been sent counts.
 *
 * In a data centre with too few other VMs, the load balancer keeps sending
 * callers to the draining one. A request that may not end in time is refused
 * there: it would be interrupted, and another VM can serve it.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** Start of a planned stop, and the time by which all requests must end. */
export interface DrainTimes {
  /** The stop signal was not sent before. */
  readonly signalledAt: MonotonicTime;
  readonly endsAt: MonotonicTime;
}

/**
 * Time after the stop signal during which every request is admitted, since the
 * load balancer can't have noticed the stop before.
 */
const BALANCER_NOTICE_TIME: Millis = 3_000;

/**
 * Maximum time by which requests in progress end early because the signal may
 * have waited; if it did for longer, the writes after them get less time.
 */
const MAX_EARLY_END: Millis = 350;

/** Returns the times of a planned stop whose signal is handled now. */
export function computeDrainTimes(
  input: {
    readonly now: MonotonicTime;
    /** The signal was not sent before. */
    readonly signalledAt: MonotonicTime;
    /** Time from the signal until the process is killed. */
    readonly stopTimeout: Millis;
    /** Part of it that is reserved for what follows the requests. */
    readonly reserve: Millis;
  },
): DrainTimes {
  const { now, signalledAt, stopTimeout, reserve } = input;
  const countedFrom = Math.max(signalledAt, now - MAX_EARLY_END);
  return { signalledAt, endsAt: countedFrom + stopTimeout - reserve };
}

/** Returns whether a request that may run until its deadline is admitted. */
export function isAdmittedDuringDrain(
  times: DrainTimes,
  call: { readonly now: MonotonicTime; readonly deadline: MonotonicTime },
): boolean {
  if (call.now - times.signalledAt <= BALANCER_NOTICE_TIME) return true;
  return call.deadline <= times.endsAt;
}
