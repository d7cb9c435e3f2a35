/** Writes how a claimed call ended; only its holder does. */
import type { JsonValue, RowOperation, Tokens } from "../../core/mod.ts";
import { formatClaimKey, type KeptAnswer } from "./claim_row.ts";
import { type ClaimInput, readClaimRow } from "./take_claim.ts";

/** How the call ended. */
export type ClaimEnd =
  | {
    readonly state: "ran";
    readonly answer: KeptAnswer;
    readonly tokens: Tokens;
  }
  | { readonly state: "not-run" };

/** What became of finishing a claim. */
export interface FinishClaimResult {
  /** False when the claim is not this attempt's any more, or was finished. */
  readonly finishedNow: boolean;
}

/** Returns the operation that finishes a claim. */
export function createFinishClaim(
  claim: ClaimInput,
  end: ClaimEnd,
): RowOperation<FinishClaimResult> {
  const key = formatClaimKey(claim.customer, claim.requestKey);
  return {
    id: `finish/${key}/${claim.vm}/${claim.incarnation}`,
    keys: [key],
    decide(rows) {
      const row = readClaimRow(rows, key);
      const own = row !== undefined && row.state === "open" &&
        row.vm === claim.vm && row.incarnation === claim.incarnation;
      if (!own) return { writes: [], result: { finishedNow: false } };
      const value: JsonValue = { ...row, ...end };
      return { writes: [{ key, value }], result: { finishedNow: true } };
    },
  };
}
