/**
 * Whether a VM that is being stopped takes a request. Answers the load of a zone
 * whose balancer has too few other machines and goes on sending callers to one
 * that stops: what can't end in time would be cut off, and another VM can take it.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** When a planned stop began and by when everything has to end. */
export interface DrainTimes {
  readonly startedAt: MonotonicTime;
  readonly endsAt: MonotonicTime;
}

/**
 * Time after the stop signal in which every request is taken: the balancer can't
 * have heard of the stop before.
 */
const BALANCER_NOTICE_TIME: Millis = 3_000;

/** Returns whether a request that may last until its deadline is taken. */
export function isAdmittedDuringDrain(
  stop: DrainTimes,
  call: { readonly now: MonotonicTime; readonly deadline: MonotonicTime },
): boolean {
  if (call.now - stop.startedAt <= BALANCER_NOTICE_TIME) return true;
  return call.deadline <= stop.endsAt;
}
