/**
 * The claim row of the specification and the decisions on it, which the row
 * operations of packages/request must agree with.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck } from "../specification.ts";

/** The attempts by their VM. */
export const ATTEMPTS = [
  { name: "A1", vm: 0 },
  { name: "A2", vm: 0 },
  { name: "B1", vm: 1 },
] as const;

/** How the claim row says that the call stands. */
export enum ClaimMark {
  Free = "-",
  Open = "o",
  Ran = "r",
  NotRun = "n",
  Unknown = "u",
}

/** The claim row's value; `holder` is the number of an attempt. */
export interface ClaimValue {
  readonly mark: ClaimMark;
  readonly holder: number;
}

/** What an attempt to claim finds. */
export type ClaimDecision =
  | { readonly kind: "write"; readonly value: ClaimValue }
  | { readonly kind: "taken" | "ran" | "unknown" | "held" | "ended" };

/** Decides a claim from the row's value. */
export function decideClaim(
  value: ClaimValue,
  attempt: number,
  isOn: GuardCheck,
): ClaimDecision {
  const write: ClaimDecision = {
    kind: "write",
    value: { mark: ClaimMark.Open, holder: attempt },
  };
  const own = isOwnClaim(value, attempt, isOn);
  switch (value.mark) {
    case ClaimMark.Free:
      return write;
    case ClaimMark.NotRun:
      return own ? { kind: "ended" } : write;
    case ClaimMark.Ran:
      return isOn(Guard.FinishedClaimStays) ? { kind: "ran" } : write;
    case ClaimMark.Unknown:
      return { kind: "unknown" };
    case ClaimMark.Open:
      if (own) return { kind: "taken" };
      return isOn(Guard.ClaimNeverChangesHolder) ? { kind: "held" } : write;
  }
}

/** How a claim may end. */
export type EndMark = ClaimMark.Ran | ClaimMark.NotRun | ClaimMark.Unknown;

/**
 * Decides how an attempt's claim ends; absent when it is not its own. A claim
 * that never arrived is ended as not run all the same, so that its late write
 * finds another version.
 */
export function decideClaimEnd(
  value: ClaimValue,
  attempt: number,
  mark: EndMark,
): ClaimValue | undefined {
  if (value.mark === ClaimMark.Free && mark === ClaimMark.NotRun) {
    return { mark, holder: attempt };
  }
  const own = value.mark === ClaimMark.Open && value.holder === attempt;
  return own ? { mark, holder: attempt } : undefined;
}

export function isOwnClaim(
  value: ClaimValue,
  attempt: number,
  isOn: GuardCheck,
): boolean {
  if (isOn(Guard.ClaimNamesAttempt)) return value.holder === attempt;
  return ATTEMPTS[value.holder]?.vm === ATTEMPTS[attempt]?.vm;
}
