/** What is wrong with a trace, with its line and what to do about it. */

/** Kinds of faults. */
export enum ReplayErrorKind {
  Syntax = "syntax",
  BadHeader = "bad-header",
  UnknownVersion = "unknown-version",
  UnknownInput = "unknown-input",
  BadField = "bad-field",
  TimeBack = "time-back",
  Truncated = "truncated",
  AfterEnd = "after-end",
}

/** A trace that cannot be replayed. */
export interface ReplayError {
  readonly kind: ReplayErrorKind;
  /** Line of the fault, from 1. */
  readonly line: number;
  readonly message: string;
  readonly remedy: string;
}

/** Formats an error as one line. */
export function formatReplayError(error: ReplayError): string {
  return `line ${error.line}: ${error.message} (${error.kind}). ${error.remedy}`;
}
