/**
 * Decides whether a VM that is draining admits a new request. In a data centre
 * with too few other VMs, the load balancer keeps sending callers to the
 * draining one. A request that may not end in time is refused there: it would
 * be interrupted, and another VM can serve it.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** Start of a planned stop, and the time by which all requests must end. */
export interface DrainTimes {
  readonly startedAt: MonotonicTime;
  readonly endsAt: MonotonicTime;
}

/**
 * Time after the stop signal during which every request is admitted, since the
 * load balancer can't have noticed the stop before.
 */
const BALANCER_NOTICE_TIME: Millis = 3_000;

/** Returns whether a request that may run until its deadline is admitted. */
export function isAdmittedDuringDrain(
  times: DrainTimes,
  call: { readonly now: MonotonicTime; readonly deadline: MonotonicTime },
): boolean {
  if (call.now - times.startedAt <= BALANCER_NOTICE_TIME) return true;
  return call.deadline <= times.endsAt;
}
