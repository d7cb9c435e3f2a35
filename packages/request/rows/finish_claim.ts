/** Records how a claimed call ended. Only the holder of the claim may do so. */
import type { JsonValue, RowOperation, Tokens } from "../../core/mod.ts";
import {
  formatClaimKey,
  formatHolder,
  isHeldBy,
  type KeptAnswer,
  readClaimRow,
} from "./claim_row.ts";
import { type ClaimInput, createClaimValue } from "./take_claim.ts";

/** How a claimed call ended. */
export type ClaimEnd =
  | {
    readonly state: "ran";
    readonly answer: KeptAnswer;
    readonly tokens: Tokens;
  }
  /** No byte was sent to a target: the key may be claimed again. */
  | { readonly state: "not-run" }
  /** The connection broke after bytes were sent, so the call may have run. */
  | { readonly state: "unknown" };

/** Result of finishing a claim. */
export interface FinishClaimResult {
  /**
   * Whether this operation finished the claim. False if another attempt holds
   * it, or if it was finished before.
   */
  readonly finishedNow: boolean;
}

/**
 * Returns the store operation that finishes a claim. If a call is finished as
 * not run and its claim row does not exist, the row is written all the same: a
 * delayed write of the claim then finds a changed row version and fails.
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
