/** Refusals of requests for which there is no target or no room. */
import {
  createNotRun,
  type Millis,
  type Refusal,
  RefusalKind,
} from "../../core/mod.ts";

/** A target that was lost is listed again or replaced within seconds. */
const NO_TARGET_RETRY_AFTER: Millis = 2_000;

/** A slot comes free about as often as requests end. */
const NO_ROOM_RETRY_AFTER: Millis = 1_000;

/** Returns the refusal of a request that no target can take. */
export function createNoTarget(): Refusal {
  return createNotRun(
    RefusalKind.NoTarget,
    "We could not reach a service that can answer this right now. Nothing was done. Please try again shortly.",
    { retryAfter: NO_TARGET_RETRY_AFTER },
  );
}

/** Returns the refusal of a request for which every target is full. */
export function createNoRoom(): Refusal {
  return createNotRun(
    RefusalKind.Overloaded,
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
    { retryAfter: NO_ROOM_RETRY_AFTER },
  );
}
