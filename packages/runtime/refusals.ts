/** Converts refusals to HTTP: status code, message, body and headers. */
import {
  createNotRunRefusal,
  type Millis,
  MILLIS_PER_SECOND,
  type Refusal,
  RefusalKind,
  RequestOutcome,
} from "../core/mod.ts";

const HTTP_STATUS: Readonly<Record<RefusalKind, number>> = {
  [RefusalKind.BadRequest]: 400,
  [RefusalKind.HeadersTooLarge]: 431,
  [RefusalKind.BodyTooLarge]: 413,
  [RefusalKind.SlowSender]: 408,
  [RefusalKind.BadKey]: 401,
  [RefusalKind.UnknownEvent]: 404,
  [RefusalKind.UnknownKind]: 404,
  [RefusalKind.UnknownRoute]: 404,
  [RefusalKind.CustomerNotAllowed]: 403,
  [RefusalKind.RequestKeyMissing]: 400,
  [RefusalKind.RequestKeyReused]: 422,
  [RefusalKind.BudgetSpent]: 402,
  [RefusalKind.BudgetUnreachable]: 503,
  [RefusalKind.StoreUnavailable]: 503,
  [RefusalKind.RateLimited]: 429,
  [RefusalKind.Overloaded]: 503,
  [RefusalKind.DeadlineTooSoon]: 503,
  [RefusalKind.NoTarget]: 503,
  [RefusalKind.NoHomeTarget]: 503,
  [RefusalKind.TargetsLimited]: 503,
  [RefusalKind.TargetsPaused]: 503,
  [RefusalKind.Quarantined]: 422,
  [RefusalKind.PartQuarantined]: 503,
  [RefusalKind.RequestQuarantined]: 503,
  [RefusalKind.ConfigurationStale]: 503,
  [RefusalKind.Draining]: 503,
  [RefusalKind.StreamUnknown]: 503,
  [RefusalKind.TargetFailed]: 502,
  [RefusalKind.OutcomeUnknown]: 502,
  [RefusalKind.TimedOut]: 504,
  [RefusalKind.StillRunning]: 409,
  [RefusalKind.Internal]: 500,
};

/** Messages of the refusals whose message depends only on their kind. */
const MESSAGES: Partial<Record<RefusalKind, string>> = {
  [RefusalKind.HeadersTooLarge]:
    "The headers of this request are larger than we can take. Nothing was done. Please send it with smaller headers.",
  [RefusalKind.BodyTooLarge]:
    "This request is larger than we can take. Nothing was done. Please send it in smaller parts.",
  [RefusalKind.SlowSender]:
    "The request did not arrive in full in time. Nothing was done. Please check the connection and send it again.",
  [RefusalKind.BadKey]:
    "We do not know this access key. Nothing was done. Please check the key with the person who gave it to you.",
  [RefusalKind.UnknownEvent]:
    "We do not know this event. Nothing was done. Please check its name.",
  [RefusalKind.UnknownKind]:
    "This event does not take this kind of request. Nothing was done. Please check the name of the kind.",
  [RefusalKind.UnknownRoute]:
    "There is no service at this address. Nothing was done. Please check the address.",
  [RefusalKind.BudgetSpent]:
    "The prepaid budget does not cover this request any more. Nothing was done. Please ask the person who looks after the budget to top it up.",
  [RefusalKind.BudgetUnreachable]:
    "We could not check the prepaid budget just now. Nothing was done. Please try again shortly.",
  [RefusalKind.NoTarget]:
    "We could not reach a service that can answer this right now. Nothing was done. Please try again shortly.",
  [RefusalKind.NoHomeTarget]:
    "We could not reach a service that can answer this in the regions that may. Nothing was done. Please try again shortly.",
  [RefusalKind.Overloaded]:
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
  [RefusalKind.DeadlineTooSoon]:
    "We could not answer this in time. Nothing was done. Please try again shortly.",
  [RefusalKind.TimedOut]:
    "The answer did not come in time. It may have been done; please check before you send it again.",
  [RefusalKind.CustomerNotAllowed]:
    "This event is not open to your organisation. Nothing was done. Please ask the person who looks after the event.",
  [RefusalKind.RequestKeyMissing]:
    "This kind of request needs an Idempotency-Key, so that it is never done twice. Nothing was done. Please add one and send it again.",
  [RefusalKind.RequestKeyReused]:
    "This Idempotency-Key was used for another request. Nothing was done for this one. Please use a new key.",
  [RefusalKind.StoreUnavailable]:
    "We could not make sure that this would be done only once, so this try was not carried out. Please try again shortly, with the same Idempotency-Key if you have sent it before.",
  [RefusalKind.Quarantined]:
    "This request has made our services fail more than once, so we are not sending it again. Nothing was done. Please ask the person who looks after the event.",
  [RefusalKind.PartQuarantined]:
    "A part of this prompt has made our services fail several times, so requests with it are not run for some minutes. Nothing was done. Please leave that part out, or try again later.",
  [RefusalKind.RequestQuarantined]:
    "This request has made our services fail several times, so it is not run for some minutes. Nothing was done. Please change it, or try again later.",
  [RefusalKind.ConfigurationStale]:
    "We could not check that our settings are up to date. Nothing was done. Please try again in a moment.",
  [RefusalKind.Draining]:
    "This machine is being replaced. Nothing was done. Please send the request again now.",
  [RefusalKind.StreamUnknown]:
    "We do not know any more which service began this answer, so we cannot continue it. Nothing was done. Please begin it anew.",
  [RefusalKind.StillRunning]:
    "This request is already being worked on. Please ask again shortly with the same Idempotency-Key to get its answer.",
  [RefusalKind.OutcomeUnknown]:
    "We cannot tell whether this was done. Please do not send it as a new request; check with the service first, or ask again with the same Idempotency-Key.",
  [RefusalKind.TargetFailed]:
    "The answer broke off before it was complete. Please send the request again with the same Idempotency-Key.",
  [RefusalKind.Internal]:
    "Something went wrong on our side. Please try again shortly.",
};

/**
 * Returns a refusal of a request that was not run, with the message of its
 * kind.
 */
export function createRefusal(
  kind: RefusalKind,
  options: { readonly retryAfter?: Millis } = {},
): Refusal {
  return createNotRunRefusal(kind, findMessage(kind), options);
}

/**
 * Returns a refusal of a request that a target may have run, with the message
 * of its kind.
 */
export function createUnknownOutcomeRefusal(
  kind: RefusalKind,
  options: { readonly retryAfter?: Millis } = {},
): Refusal {
  return {
    kind,
    outcome: RequestOutcome.Unknown,
    message: findMessage(kind),
    ...options,
  };
}

/** Returns a refusal of a malformed request; the reason says what is wrong. */
export function createBadRequest(reason: string): Refusal {
  return createNotRunRefusal(
    RefusalKind.BadRequest,
    `We could not read this request: ${reason}. Nothing was done. Please correct it and send it again.`,
  );
}

/** Returns the HTTP status code of a refusal. */
export function readRefusalStatus(refusal: Refusal): number {
  return HTTP_STATUS[refusal.kind];
}

/** Returns the JSON body of a refusal, in the format of OpenAI API errors. */
export function formatRefusalBody(refusal: Refusal): string {
  return JSON.stringify({
    error: {
      message: refusal.message,
      type: refusal.kind,
      code: refusal.kind,
      outcome: refusal.outcome,
      ...(refusal.retryAfter === undefined
        ? {}
        : { retry_after_ms: Math.ceil(refusal.retryAfter) }),
    },
  });
}

/** Returns the HTTP headers of a refusal. */
export function createRefusalHeaders(
  refusal: Refusal,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "x-anvilrail-outcome": refusal.outcome,
    "x-anvilrail-reason": refusal.kind,
  };
  if (refusal.retryAfter !== undefined) {
    const seconds = Math.ceil(refusal.retryAfter / MILLIS_PER_SECOND);
    headers["retry-after"] = String(Math.max(1, seconds));
  }
  return headers;
}

function findMessage(kind: RefusalKind): string {
  return MESSAGES[kind] ?? "Nothing was done. Please try again shortly.";
}
