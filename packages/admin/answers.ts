/** Creates the answers that several routes share, mainly typed errors. */
import { z } from "zod";
import {
  type InputError,
  type JsonValue,
  type PlatformError,
  PlatformErrorKind,
} from "../core/mod.ts";
import type { ChangeRefusal } from "../document/mod.ts";
import { type AdminAnswer, type Caller, CallerRole } from "./api.ts";

/** Kind of an error answer; determines its HTTP status. */
export enum AdminErrorKind {
  BadRequest = "bad-request",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  NotFound = "not-found",
  Conflict = "conflict",
  Invalid = "invalid",
  /** The store could not be reached; nothing was changed. */
  NotDone = "not-done",
  /**
   * The store's answer was lost, so the change may or may not be stored; repeat
   * the request with the same id.
   */
  Unknown = "unknown",
  Internal = "internal",
}

/** Contents of an error answer. */
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

/** Returns the answer to a successful request, with status 200. */
export function createAnswer(body: unknown): AdminAnswer {
  return { status: 200, body: body as JsonValue };
}

/** Returns an error answer with the HTTP status of its kind. */
export function createErrorAnswer(error: AdminError): AdminAnswer {
  const body = { error: { ...error } } as unknown as JsonValue;
  return { status: STATUSES[error.kind], body };
}

/** Returns the answer for something that does not exist (404). */
export function createNotFound(itemName: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.NotFound,
    message: `There is no ${itemName}.`,
    remedy: "List the existing items and correct the name.",
  });
}

/**
 * Returns the answer when a store operation failed: outcome unknown (504) if the
 * store's answer was lost, otherwise not done (503).
 */
export function createStoreError(error: PlatformError): AdminAnswer {
  const lost = error.kind === PlatformErrorKind.AnswerLost;
  return createErrorAnswer({
    kind: lost ? AdminErrorKind.Unknown : AdminErrorKind.NotDone,
    message: lost
      ? `The store's answer was lost; the change may or may not be stored: ${error.message}`
      : `The store could not be reached; nothing was changed: ${error.message}`,
    remedy: lost
      ? "Send the same request with the same id again; it takes effect once."
      : "Try again later.",
  });
}

/**
 * Returns the answer to a refused change of the document: a conflict (409) if the
 * refusal carries the section's current text or the change id was used before,
 * otherwise invalid (422).
 */
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

/** Returns the answer when the caller lacks permission (403); names the owner. */
export function createForbidden(owner: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.Forbidden,
    message: `This belongs to ${owner}.`,
    remedy: "Ask its owner, or the operators of the fleet.",
  });
}

/** Returns the answer to a body or query that does not match its schema (400). */
export function createBadRequest(error: z.ZodError): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.BadRequest,
    message: z.prettifyError(error),
    remedy: "Correct the request as docs/ADMIN_API.md describes it.",
  });
}

/** Returns whether a caller may read and change what a team owns. */
export function isAllowed(caller: Caller, owner: string): boolean {
  return caller.role === CallerRole.Fleet || caller.team === owner;
}

/** Returns a caller's name as recorded in the history and the audit trail. */
export function describeCaller(caller: Caller): string {
  return caller.role === CallerRole.Fleet ? "fleet" : `team ${caller.team}`;
}

/** Converts input errors to plain JSON. */
export function formatErrors(errors: readonly InputError[]): JsonValue {
  return JSON.parse(JSON.stringify(errors)) as JsonValue;
}
