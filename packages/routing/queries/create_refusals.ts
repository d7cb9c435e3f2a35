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
 * Retry delay without a usable target: a lost one returns or is replaced in
 * seconds.
 */
const NO_TARGET_RETRY_AFTER: Millis = 2_000;

/**
 * Retry delay when all targets are full: slots become free about as often as
 * requests end.
 */
const NO_ROOM_RETRY_AFTER: Millis = 1_000;

/** Returns the refusal of a request for which no target is usable. */
export function createNoTarget(): Refusal {
  return createNotRunRefusal(
    RefusalKind.NoTarget,
    "We could not reach a service that can answer this right now. Nothing was done. Please try again shortly.",
    { retryAfter: NO_TARGET_RETRY_AFTER },
  );
}

/** Returns the refusal of a request for which every target is full. */
export function createNoRoom(): Refusal {
  return createNotRunRefusal(
    RefusalKind.Overloaded,
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
    { retryAfter: NO_ROOM_RETRY_AFTER },
  );
}
