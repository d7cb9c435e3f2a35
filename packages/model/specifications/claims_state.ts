/** The states of the claims model and their short texts. */
import type { SentWrite, StoredRow } from "../stored_row.ts";
import type { ClaimValue } from "./claim_value.ts";

/** Where an attempt stands. */
export enum Stage {
  New = "0",
  /** Its claim's write is under way, or has to be sent again. */
  Claiming = "c",
  Claimed = "h",
  /** Bytes were sent to the target. */
  Dispatched = "d",
  /** The target answered; the claim's end is under way. */
  Finishing = "f",
  /** No byte was sent; the claim's end is under way. */
  Freeing = "q",
  /** The call broke after bytes were sent; the claim's end is under way. */
  Parting = "p",
  ToldRan = "R",
  ToldNotRun = "N",
  ToldUnknown = "U",
  Crashed = "X",
}

/** What the target made of an attempt's bytes. */
export enum TargetMark {
  Nothing = "-",
  Received = "s",
  Ran = "r",
}

export interface Attempt {
  readonly stage: Stage;
  readonly target: TargetMark;
  readonly write?: SentWrite<ClaimValue>;
  readonly late?: SentWrite<ClaimValue>;
  /** The attempt on whose claim a not-run answer was based. */
  readonly reliedOn?: number;
}

/** A state of the specification. */
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
  return `${write.base}${write.value.mark}${write.value.holder}`;
}

export function formatAttempt(attempt: Attempt): string {
  const { stage, target, write, late, reliedOn = "" } = attempt;
  return `${stage}${target}${formatWrite(write)},${
    formatWrite(late)
  },${reliedOn}`;
}
