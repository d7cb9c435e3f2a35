/** Requests: keys, claims, kept answers, bills and token bounds. */
export type { Bill } from "./bill.ts";
export { formatBillIdentity } from "./bill.ts";
export {
  computePromptBound,
  TEMPLATE_TOKENS_PER_MESSAGE,
  TEMPLATE_TOKENS_PER_REQUEST,
} from "./queries/compute_token_bound.ts";
export {
  BILL_BATCH_PREFIX,
  collectBills,
  createBillBatch,
} from "./rows/bill_batch.ts";
export type { ClaimRow, KeptAnswer } from "./rows/claim_row.ts";
export { formatClaimKey, parseClaimRow } from "./rows/claim_row.ts";
export type { ClaimEnd, FinishClaimResult } from "./rows/finish_claim.ts";
export { createFinishClaim } from "./rows/finish_claim.ts";
export type { ClaimInput, TakeClaimResult } from "./rows/take_claim.ts";
export { ClaimState, createTakeClaim } from "./rows/take_claim.ts";
