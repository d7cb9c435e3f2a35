/**
 * The claim row of the claims model and the decisions on it. A test compares
 * them with the row operations of packages/request.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck } from "../specification.ts";

/** The attempts with the VM of each. */
export const ATTEMPTS = [
  { name: "A1", vm: 0 },
  { name: "A2", vm: 0 },
  { name: "B1", vm: 1 },
] as const;

/** Status of the call according to the claim row. */
export enum ClaimStatus {
  Free = "-",
  Open = "o",
  Ran = "r",
  NotRun = "n",
  Unknown = "u",
}

/** Value of the claim row; `holder` is the index of an attempt. */
export interface ClaimValue {
  readonly status: ClaimStatus;
  readonly holder: number;
}

/**
 * Result of trying to claim a call: a value to write, or the reason for which
 * nothing is written.
 */
export type ClaimDecision =
  | { readonly kind: "write"; readonly value: ClaimValue }
  | { readonly kind: "taken" | "ran" | "unknown" | "held" | "ended" };

/** Decides from the row's value whether an attempt may claim the call. */
export function decideClaim(
  value: ClaimValue,
  attempt: number,
  isOn: GuardCheck,
): ClaimDecision {
  const write: ClaimDecision = {
    kind: "write",
    value: { status: ClaimStatus.Open, holder: attempt },
  };
  const own = isOwnClaim(value, attempt, isOn);
  switch (value.status) {
    case ClaimStatus.Free:
      return write;
    case ClaimStatus.NotRun:
      return own ? { kind: "ended" } : write;
    case ClaimStatus.Ran:
      return isOn(Guard.FinishedClaimStays) ? { kind: "ran" } : write;
    case ClaimStatus.Unknown:
      return { kind: "unknown" };
    case ClaimStatus.Open:
      if (own) return { kind: "taken" };
      return isOn(Guard.ClaimNeverChangesHolder) ? { kind: "held" } : write;
  }
}

/** Statuses with which a claim may end. */
export type ClaimEndStatus =
  | ClaimStatus.Ran
  | ClaimStatus.NotRun
  | ClaimStatus.Unknown;

/**
 * Ends the claim of an attempt. Returns the new value, or undefined if the
 * attempt does not hold the claim. A free row is also changed to not-run, so
 * that a late write of the claim finds another version and is refused.
 */
export function decideClaimEnd(
  value: ClaimValue,
  attempt: number,
  status: ClaimEndStatus,
): ClaimValue | undefined {
  if (value.status === ClaimStatus.Free && status === ClaimStatus.NotRun) {
    return { status, holder: attempt };
  }
  const own = value.status === ClaimStatus.Open && value.holder === attempt;
  return own ? { status, holder: attempt } : undefined;
}

/** Returns whether the row's claim counts as the attempt's own. */
export function isOwnClaim(
  value: ClaimValue,
  attempt: number,
  isOn: GuardCheck,
): boolean {
  if (isOn(Guard.ClaimNamesAttempt)) return value.holder === attempt;
  return ATTEMPTS[value.holder]?.vm === ATTEMPTS[attempt]?.vm;
}
