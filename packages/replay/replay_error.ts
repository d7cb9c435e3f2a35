/** Errors of traces, each with its line and a remedy. */

/** Kinds of errors in a trace. */
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

/** An error because of which a trace cannot be replayed. */
export interface ReplayError {
  readonly kind: ReplayErrorKind;
  /** Line of the error, from 1. */
  readonly line: number;
  readonly message: string;
  readonly remedy: string;
}

/** Formats an error as one line. */
export function formatReplayError(error: ReplayError): string {
  return `line ${error.line}: ${error.message} (${error.kind}). ${error.remedy}`;
}
