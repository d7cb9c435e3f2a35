/**
 * Decides where the answer of a claimed call is kept: small bodies in the claim
 * row, larger ones in the object store.
 */
import { type Bytes, BYTES_PER_KIB } from "../../core/mod.ts";
import {
  formatClaimKey,
  formatHolder,
  type KeptAnswer,
} from "../rows/claim_row.ts";
import type { ClaimInput } from "../rows/take_claim.ts";

/** Maximum size of an answer body that is kept in the claim row. */
export const MAX_INLINE_ANSWER: Bytes = 16 * BYTES_PER_KIB;

/**
 * The answer to record in the claim row and, for a large body, the object to
 * write to the object store before the claim is finished.
 */
export interface KeptAnswerPlan {
  readonly answer: KeptAnswer;
  readonly object?: { readonly key: string; readonly body: Uint8Array };
}

/** Returns how to keep the answer of a claimed call. */
export function planKeptAnswer(
  claim: ClaimInput,
  input: {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
  },
): KeptAnswerPlan {
  const { status, contentType, body } = input;
  if (body.length <= MAX_INLINE_ANSWER) {
    const bodyBase64 = Buffer.from(body).toString("base64");
    return { answer: { status, contentType, bodyBase64 } };
  }
  const key = formatAnswerKey(claim);
  return {
    answer: { status, contentType, objectKey: key, bytes: body.length },
    object: { key, body },
  };
}

/**
 * Returns the object key of an attempt's answer. The key contains the attempt,
 * so that no attempt overwrites the answer of another.
 */
function formatAnswerKey(claim: ClaimInput): string {
  const key = formatClaimKey(claim.customer, claim.requestKey);
  return `answers/${key}/${formatHolder(claim)}`;
}
