/**
 * Creates refusals of requests for which no target is usable or all are full.
 */
import {
  createNotRunRefusal,
  type Millis,
  type Refusal,
  RefusalKind,
} from "../../core/mod.ts";

/**
 * Suggested retry delay when no target is usable: a lost target returns or is
 * replaced in seconds.
 */
const NO_TARGET_RETRY_AFTER: Millis = 2_000;

/**
 * Suggested retry delay when all usable targets are full: a slot becomes free
 * whenever a request ends.
 */
const OVERLOADED_RETRY_AFTER: Millis = 1_000;

/**
 * Minimum retry delay when all usable targets limit their requests: they are in
 * need, and callers that come back sooner would only be refused again.
 */
const MIN_LIMITED_RETRY_AFTER: Millis = 1_000;

/** Returns the refusal of a request for which no target is usable. */
export function createNoTarget(): Refusal {
  return createNotRunRefusal(
    RefusalKind.NoTarget,
    "We could not reach a service that can answer this right now. Nothing was done. Please try again shortly.",
    { retryAfter: NO_TARGET_RETRY_AFTER },
  );
}

/**
 * Returns the refusal of a request for which no target is usable in its home
 * regions.
 */
export function createNoHomeTarget(): Refusal {
  return createNotRunRefusal(
    RefusalKind.NoHomeTarget,
    "We could not reach a service that can answer this in the regions that may. Nothing was done. Please try again shortly.",
    { retryAfter: NO_TARGET_RETRY_AFTER },
  );
}

/** Returns the refusal of a request for which all usable targets are full. */
export function createOverloaded(): Refusal {
  return createNotRunRefusal(
    RefusalKind.Overloaded,
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
    { retryAfter: OVERLOADED_RETRY_AFTER },
  );
}

/**
 * Returns the refusal of a request for which all usable targets have asked this
 * VM for a pause. The first pause ends after `pause`.
 */
export function createTargetsPaused(pause: Millis): Refusal {
  return createNotRunRefusal(
    RefusalKind.TargetsPaused,
    "Our services asked us to wait for a moment. Nothing was done. Please try again then.",
    { retryAfter: pause },
  );
}

/**
 * Returns the refusal of a request for which this VM may use no target, because
 * they limit their requests. Any VM may use one again after `nextTurn`.
 */
export function createTargetsLimited(nextTurn: Millis): Refusal {
  return createNotRunRefusal(
    RefusalKind.TargetsLimited,
    "Our services accept only some requests at the moment. Nothing was done. Please try again shortly.",
    { retryAfter: Math.max(MIN_LIMITED_RETRY_AFTER, nextTurn) },
  );
}
