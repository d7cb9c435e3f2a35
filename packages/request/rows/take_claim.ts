/** Claims a call that may not be repeated, before its dispatch. */
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

/** What a claim attempt found. */
export enum ClaimState {
  /** The claim is this attempt's: dispatch at most once. */
  Taken = "taken",
  /** The call ran; its answer is kept. */
  Ran = "ran",
  /** The call may have run; nobody will know. */
  Unknown = "unknown",
  /** Another attempt holds the claim. */
  HeldByOther = "held-by-other",
  /** The key was used with another body. */
  OtherBody = "other-body",
  /** This attempt was finished already: dispatch nothing. */
  Ended = "ended",
}

/** The answer to a claim attempt. */
export interface TakeClaimResult {
  readonly state: ClaimState;
  readonly answer?: KeptAnswer;
  /** Who holds it, when another attempt does. */
  readonly holder?: ClaimHolder;
}

/** Who claims what. */
export interface ClaimInput extends ClaimHolder {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly digest: BodyDigest;
  readonly wallTime: WallTime;
}

/** Returns the operation that takes a claim. */
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

/** Returns a new claim row's value. */
export function createClaimValue(
  input: ClaimInput,
  state: "open" | "not-run",
): JsonValue {
  const { digest, vm, incarnation, attempt, wallTime } = input;
  const value = { digest, vm, incarnation, state, claimedAt: wallTime };
  return attempt === undefined ? value : { ...value, attempt };
}

/** Returns what stands in the way of a claim; undefined when it is free. */
function resolveExistingClaim(
  row: ClaimRow,
  input: ClaimInput,
): TakeClaimResult | undefined {
  const isOwn = isHeldBy(row, input);
  if (row.digest !== input.digest) return { state: ClaimState.OtherBody };
  if (row.state === "ran") {
    // Without its answer the call is as good as unknown; it must not run again.
    if (row.answer === undefined) return { state: ClaimState.Unknown };
    return { state: ClaimState.Ran, answer: row.answer };
  }
  // A decision that is made again after the attempt ended must not reopen it.
  if (row.state === "not-run") {
    return isOwn ? { state: ClaimState.Ended } : undefined;
  }
  if (row.state === "unknown") return { state: ClaimState.Unknown };
  if (isOwn) return { state: ClaimState.Taken };
  return { state: ClaimState.HeldByOther, holder: readHolder(row) };
}
