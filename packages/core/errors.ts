/**
 * Typed errors. Each has a kind, a sentence that says what is wrong and a
 * remedy that says what to do about it.
 */
import type { Millis } from "./units.ts";
import { RefusalKind, RequestOutcome } from "./enums.ts";

/** A position in a text that an operator wrote; line and column start at 1. */
export interface TextPlace {
  /** File, section or part the text belongs to. */
  readonly source: string;
  readonly line: number;
  readonly column: number;
}

/** What is wrong with an input that an operator or developer gave. */
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

/** One fault of an operator's input, with its place and remedy. */
export interface InputError {
  readonly kind: InputErrorKind;
  readonly message: string;
  readonly remedy: string;
  readonly place?: TextPlace;
}

/** Why an outside system gave no usable answer. */
export enum PlatformErrorKind {
  /** Refused before any effect: the connection failed or the service said so. */
  NotDone = "not-done",
  /** The service asks for fewer requests; nothing was done. */
  Throttled = "throttled",
  /** The answer was lost: the effect may or may not have happened. */
  AnswerLost = "answer-lost",
  /** The service answered with something outside its protocol. */
  BadAnswer = "bad-answer",
}

/** A failed call of an outside system. */
export interface PlatformError {
  readonly kind: PlatformErrorKind;
  readonly message: string;
  readonly remedy: string;
}

/** A request that gets no answer from a target, or not the whole one. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly outcome: RequestOutcome;
  /** A gentle, plain sentence for a caller who is not technical. */
  readonly message: string;
  /** When it is worth trying again, in milliseconds from now; absent if never. */
  readonly retryAfter?: Millis;
}

/** Formats a place as `source:line:column`. */
export function formatPlace(place: TextPlace): string {
  return `${place.source}:${place.line}:${place.column}`;
}

/** Formats an input error as one line with place, message and remedy. */
export function formatInputError(error: InputError): string {
  const place = error.place === undefined
    ? ""
    : `${formatPlace(error.place)}: `;
  return `${place}${error.message} (${error.kind}). ${error.remedy}`;
}

/** Returns a refusal for a request of which no byte reached a target. */
export function createNotRunRefusal(
  kind: RefusalKind,
  message: string,
  options: { readonly retryAfter?: Millis } = {},
): Refusal {
  return { kind, outcome: RequestOutcome.NotRun, message, ...options };
}
