/** Writes how a claimed call ended; only its holder does. */
import type { JsonValue, RowOperation, Tokens } from "../../core/mod.ts";
import {
  formatClaimKey,
  formatHolder,
  isHeldBy,
  type KeptAnswer,
  readClaimRow,
} from "./claim_row.ts";
import { type ClaimInput, createClaimValue } from "./take_claim.ts";

/** How the call ended. */
export type ClaimEnd =
  | {
    readonly state: "ran";
    readonly answer: KeptAnswer;
    readonly tokens: Tokens;
  }
  /** No byte reached a target: the key is free again. */
  | { readonly state: "not-run" }
  /** The connection broke after bytes were sent. */
  | { readonly state: "unknown" };

/** What became of finishing a claim. */
export interface FinishClaimResult {
  /** False when the claim is not this attempt's any more, or was finished. */
  readonly finishedNow: boolean;
}

/**
 * Returns the operation that finishes a claim. Finishing a claim as not run
 * that never reached the table leaves a row too, so that a take which is still
 * on its way finds another version and fails.
 */
export function createFinishClaim(
  claim: ClaimInput,
  end: ClaimEnd,
): RowOperation<FinishClaimResult> {
  const key = formatClaimKey(claim.customer, claim.requestKey);
  return {
    id: `finish/${key}/${formatHolder(claim)}`,
    keys: [key],
    decide(rows) {
      const row = readClaimRow(rows, key);
      if (row === undefined && end.state === "not-run") {
        const value = createClaimValue(claim, "not-run");
        return { writes: [{ key, value }], result: { finishedNow: true } };
      }
      const mayFinish = row !== undefined && row.state === "open" &&
        isHeldBy(row, claim);
      if (!mayFinish) return { writes: [], result: { finishedNow: false } };
      const value: JsonValue = { ...row, ...end };
      return { writes: [{ key, value }], result: { finishedNow: true } };
    },
  };
}
