/** Answers that several routes give, above all typed errors. */
import { z } from "zod";
import {
  type InputError,
  type JsonValue,
  type PlatformError,
  PlatformErrorKind,
} from "../core/mod.ts";
import type { ChangeRefusal } from "../document/mod.ts";
import { type AdminAnswer, type Caller, CallerRole } from "./api.ts";

/** Why a request of the API was refused. */
export enum AdminErrorKind {
  BadRequest = "bad-request",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  NotFound = "not-found",
  Conflict = "conflict",
  Invalid = "invalid",
  /** The store could not be reached; nothing was changed. */
  NotDone = "not-done",
  /** The store's answer was lost; ask again under the same id. */
  Unknown = "unknown",
  Internal = "internal",
}

/** What an error answer says. */
export interface AdminError {
  readonly kind: AdminErrorKind;
  readonly message: string;
  readonly remedy: string;
  readonly details?: JsonValue;
}

const STATUSES: Readonly<Record<AdminErrorKind, number>> = {
  [AdminErrorKind.BadRequest]: 400,
  [AdminErrorKind.Unauthorized]: 401,
  [AdminErrorKind.Forbidden]: 403,
  [AdminErrorKind.NotFound]: 404,
  [AdminErrorKind.Conflict]: 409,
  [AdminErrorKind.Invalid]: 422,
  [AdminErrorKind.NotDone]: 503,
  [AdminErrorKind.Unknown]: 504,
  [AdminErrorKind.Internal]: 500,
};

/** Returns the answer of a request that went well. */
export function createAnswer(body: unknown): AdminAnswer {
  return { status: 200, body: body as JsonValue };
}

/** Returns the answer of a refused request. */
export function createErrorAnswer(error: AdminError): AdminAnswer {
  const body = { error: { ...error } } as unknown as JsonValue;
  return { status: STATUSES[error.kind], body };
}

/** Returns the answer when a named thing does not exist. */
export function createNotFound(what: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.NotFound,
    message: `There is no ${what}.`,
    remedy: "List what there is and correct the name.",
  });
}

/** Returns the answer when the platform gave no usable answer. */
export function createPlatformAnswer(error: PlatformError): AdminAnswer {
  const lost = error.kind === PlatformErrorKind.AnswerLost;
  return createErrorAnswer({
    kind: lost ? AdminErrorKind.Unknown : AdminErrorKind.NotDone,
    message: lost
      ? `The store's answer was lost; the change may or may not be in: ${error.message}`
      : `The store could not be reached; nothing was changed: ${error.message}`,
    remedy: lost
      ? "Send the same request with the same id again; it takes effect once."
      : "Try again later.",
  });
}

/** Returns the answer of a refused change of the document. */
export function createRefusalAnswer(refusal: ChangeRefusal): AdminAnswer {
  const { kind, message, remedy, errors, current, differences } = refusal;
  const conflict = current !== undefined || kind === "change-id-reused";
  const details = { reason: kind, errors, current, differences };
  return createErrorAnswer({
    kind: conflict ? AdminErrorKind.Conflict : AdminErrorKind.Invalid,
    message,
    remedy,
    details: JSON.parse(JSON.stringify(details)) as JsonValue,
  });
}

/** Returns the answer when a caller may not do what it asks for. */
export function createForbidden(owner: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.Forbidden,
    message: `This belongs to ${owner}.`,
    remedy: "Ask its owner, or the operators of the fleet.",
  });
}

/** Returns the answer to a body or query of the wrong shape. */
export function createBadRequest(error: z.ZodError): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.BadRequest,
    message: z.prettifyError(error),
    remedy: "Correct the request as docs/ADMIN_API.md describes it.",
  });
}

/** Says whether a caller may change what a team owns. */
export function isAllowed(caller: Caller, owner: string): boolean {
  return caller.role === CallerRole.Fleet || caller.team === owner;
}

/** Returns the name of a caller for the history and the audit trail. */
export function describeCaller(caller: Caller): string {
  return caller.role === CallerRole.Fleet ? "fleet" : `team ${caller.team}`;
}

/** Returns errors of an input as plain JSON. */
export function formatErrors(errors: readonly InputError[]): JsonValue {
  return JSON.parse(JSON.stringify(errors)) as JsonValue;
}
