/** Says where the answer of a claimed call is kept: in its row or as an object. */
import { type Bytes, BYTES_PER_KIB } from "../../core/mod.ts";
import {
  formatClaimKey,
  formatHolder,
  type KeptAnswer,
} from "../rows/claim_row.ts";
import type { ClaimInput } from "../rows/take_claim.ts";

/** Largest body that is kept in a claim row. */
export const MAX_INLINE_ANSWER: Bytes = 16 * BYTES_PER_KIB;

/** An answer to keep, and the object to put before the claim is finished. */
export interface KeptAnswerPlan {
  readonly answer: KeptAnswer;
  readonly object?: { readonly key: string; readonly body: Uint8Array };
}

/** Plans how to keep an answer. */
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

/** Each attempt has its own object, so that none overwrites another's answer. */
function formatAnswerKey(claim: ClaimInput): string {
  const key = formatClaimKey(claim.customer, claim.requestKey);
  return `answers/${key}/${formatHolder(claim)}`;
}
