/**
 * Claims a call that must not run twice before it is dispatched. The claim row
 * in the store ensures that at most one attempt dispatches the call.
 */
import type {
  BodyDigest,
  CustomerId,
  JsonValue,
  RequestKey,
  RowOperation,
  WallTime,
} from "../../core/mod.ts";
import {
  type ClaimHolder,
  type ClaimRow,
  formatClaimKey,
  formatHolder,
  isHeldBy,
  type KeptAnswer,
  readClaimRow,
  readHolder,
} from "./claim_row.ts";

/** State of a call's claim, as an attempt to take it finds it. */
export enum ClaimState {
  /** This attempt holds the claim: it may dispatch the call once. */
  Taken = "taken",
  /** The call ran and its answer is kept. */
  Ran = "ran",
  /** The call may have run; its outcome can no longer be determined. */
  Unknown = "unknown",
  /** Another attempt holds the claim. */
  HeldByOther = "held-by-other",
  /** The key was used with a different body. */
  OtherBody = "other-body",
  /** This attempt has ended already: it must not dispatch the call. */
  Ended = "ended",
}

/** Result of trying to take a claim. */
export interface TakeClaimResult {
  readonly state: ClaimState;
  /** The kept answer, if the call ran. */
  readonly answer?: KeptAnswer;
  /** The attempt that holds the claim, if it is another one. */
  readonly holder?: ClaimHolder;
}

/** An attempt and the call that it claims. */
export interface ClaimInput extends ClaimHolder {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly digest: BodyDigest;
  readonly wallTime: WallTime;
}

/**
 * Returns the store operation that takes a claim. Applying it again for the
 * same attempt gives the same result until the attempt ends.
 */
export function createTakeClaim(
  input: ClaimInput,
): RowOperation<TakeClaimResult> {
  const key = formatClaimKey(input.customer, input.requestKey);
  return {
    id: `${key}/${formatHolder(input)}`,
    keys: [key],
    decide(rows) {
      const row = readClaimRow(rows, key);
      if (row !== undefined) {
        const found = resolveExistingClaim(row, input);
        if (found !== undefined) return { writes: [], result: found };
      }
      const value = createClaimValue(input, "open");
      return {
        writes: [{ key, value }],
        result: { state: ClaimState.Taken },
      };
    },
  };
}

/** Returns the value of a new claim row. */
export function createClaimValue(
  input: ClaimInput,
  state: "open" | "not-run",
): JsonValue {
  const { digest, vm, incarnation, attempt, wallTime } = input;
  const value = { digest, vm, incarnation, state, claimedAt: wallTime };
  return attempt === undefined ? value : { ...value, attempt };
}

/**
 * Returns what an existing claim row means for an attempt; undefined if the
 * attempt may overwrite the row with its own claim.
 */
function resolveExistingClaim(
  row: ClaimRow,
  input: ClaimInput,
): TakeClaimResult | undefined {
  const isOwn = isHeldBy(row, input);
  if (row.digest !== input.digest) return { state: ClaimState.OtherBody };
  if (row.state === "ran") {
    // The call must not run again, and without its answer the outcome cannot
    // be reported to the caller.
    if (row.answer === undefined) return { state: ClaimState.Unknown };
    return { state: ClaimState.Ran, answer: row.answer };
  }
  // If the operation is applied again after the attempt ended, it must not
  // reopen the claim.
  if (row.state === "not-run") {
    return isOwn ? { state: ClaimState.Ended } : undefined;
  }
  if (row.state === "unknown") return { state: ClaimState.Unknown };
  if (isOwn) return { state: ClaimState.Taken };
  return { state: ClaimState.HeldByOther, holder: readHolder(row) };
}
