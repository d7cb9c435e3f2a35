/**
 * Typed errors and refusals. Each has a kind and a message; the errors also
 * have a remedy that says how to resolve them.
 */
import type { Millis } from "./units.ts";
import { RefusalKind, RequestOutcome } from "./enums.ts";

/** A position in a text written by an operator; line and column start at 1. */
export interface TextPlace {
  /** Name of the file, section or part that contains the text. */
  readonly source: string;
  readonly line: number;
  readonly column: number;
}

/** Kind of an error in the input of an operator or developer. */
export enum InputErrorKind {
  Syntax = "syntax",
  UnknownKey = "unknown-key",
  MissingKey = "missing-key",
  WrongType = "wrong-type",
  OutOfRange = "out-of-range",
  UnknownReference = "unknown-reference",
  Duplicate = "duplicate",
  Unreadable = "unreadable",
}

/** One error in the input of an operator, with its position and remedy. */
export interface InputError {
  readonly kind: InputErrorKind;
  readonly message: string;
  readonly remedy: string;
  readonly place?: TextPlace;
}

/** Reason why a call to an external system failed. */
export enum PlatformErrorKind {
  /**
   * The call had no effect: the connection failed, or the service refused it
   * before doing anything.
   */
  NotDone = "not-done",
  /**
   * The service rejected the call because of its rate limit; nothing was done.
   */
  Throttled = "throttled",
  /** The answer was lost: the call may or may not have taken effect. */
  AnswerLost = "answer-lost",
  /** The answer does not conform to the protocol of the service. */
  BadAnswer = "bad-answer",
}

/** A failed call to an external system. */
export interface PlatformError {
  readonly kind: PlatformErrorKind;
  readonly message: string;
  readonly remedy: string;
}

/** The reply to a request that gets no complete answer from a target. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly outcome: RequestOutcome;
  /** A polite message in plain language, for callers who are not technical. */
  readonly message: string;
  /**
   * Delay in milliseconds after which a retry may succeed; absent if retrying
   * will not help.
   */
  readonly retryAfter?: Millis;
}

/** Formats a text position as `source:line:column`. */
export function formatPlace(place: TextPlace): string {
  return `${place.source}:${place.line}:${place.column}`;
}

/**
 * Formats an input error as one line with position, message, kind and remedy.
 */
export function formatInputError(error: InputError): string {
  const place = error.place === undefined
    ? ""
    : `${formatPlace(error.place)}: `;
  return `${place}${error.message} (${error.kind}). ${error.remedy}`;
}

/** Returns a refusal of a request that was not sent to any target. */
export function createNotRunRefusal(
  kind: RefusalKind,
  message: string,
  options: { readonly retryAfter?: Millis } = {},
): Refusal {
  return { kind, outcome: RequestOutcome.NotRun, message, ...options };
}
