/** State of the claims model and its serialisation. */
import type { SentWrite, StoredRow } from "../stored_row.ts";
import type { ClaimValue } from "./claim_value.ts";

/** Progress of an attempt. */
export enum Stage {
  New = "0",
  /** The write of its claim is in progress or has to be sent again. */
  Claiming = "c",
  Claimed = "h",
  /** Bytes were sent to the target. */
  Dispatched = "d",
  /** The target has answered; the claim is being ended as run. */
  EndingAsRan = "f",
  /** No byte was sent; the claim is being ended as not run. */
  EndingAsNotRun = "q",
  /**
   * The connection broke after bytes were sent; the claim is being ended as
   * unknown.
   */
  EndingAsUnknown = "p",
  ToldRan = "R",
  ToldNotRun = "N",
  ToldUnknown = "U",
  Crashed = "X",
}

/** What the target has done with the bytes of an attempt. */
export enum TargetStatus {
  Nothing = "-",
  Received = "s",
  Ran = "r",
}

export interface Attempt {
  readonly stage: Stage;
  readonly target: TargetStatus;
  /** Write in progress. */
  readonly write?: SentWrite<ClaimValue>;
  /** Abandoned write that may still be applied. */
  readonly lateWrite?: SentWrite<ClaimValue>;
  /**
   * The attempt whose open claim led to the answer that the call was not run.
   */
  readonly reliedOn?: number;
}

/** A state of the claims model. */
export interface ClaimsState {
  readonly row: StoredRow<ClaimValue>;
  readonly attempts: readonly Attempt[];
  readonly crashes: number;
}

export function changeAttempt(
  state: ClaimsState,
  index: number,
  change: { readonly [Key in keyof Attempt]?: Attempt[Key] | undefined },
): ClaimsState {
  const attempts = state.attempts.map((attempt, each) =>
    each === index ? { ...attempt, ...change } as Attempt : attempt
  );
  return { ...state, attempts };
}

export function formatWrite(write: SentWrite<ClaimValue> | undefined): string {
  if (write === undefined) return "";
  return `${write.base}${write.value.status}${write.value.holder}`;
}

export function formatAttempt(attempt: Attempt): string {
  const { stage, target, write, lateWrite, reliedOn = "" } = attempt;
  return `${stage}${target}${formatWrite(write)},${
    formatWrite(lateWrite)
  },${reliedOn}`;
}
