/**
 * Deduplication of requests by key, claims of calls that must not run twice,
 * kept answers, bills and upper bounds on prompt tokens.
 */
export type { Bill } from "./bill.ts";
export { formatBillIdentity } from "./bill.ts";
export {
  computePromptBound,
  TEMPLATE_TOKENS_PER_MESSAGE,
  TEMPLATE_TOKENS_PER_REQUEST,
} from "./queries/compute_token_bound.ts";
export { describeHolder, HolderState } from "./queries/describe_holder.ts";
export type { KeptAnswerPlan } from "./queries/plan_kept_answer.ts";
export {
  MAX_INLINE_ANSWER,
  planKeptAnswer,
} from "./queries/plan_kept_answer.ts";
export type {
  AdmitResult,
  KeyedRequest,
  RetentionLimits,
} from "./request_table.ts";
export {
  AdmitState,
  DEFAULT_RETENTION_LIMITS,
  RequestTable,
} from "./request_table.ts";
export {
  BILL_BATCH_PREFIX,
  collectBills,
  createBillBatch,
  MAX_BATCH_BYTES,
  planBillBatches,
} from "./rows/bill_batch.ts";
export type {
  ClaimHolder,
  ClaimRow,
  InlineAnswer,
  KeptAnswer,
  StoredAnswer,
} from "./rows/claim_row.ts";
export { formatClaimKey, parseClaimRow } from "./rows/claim_row.ts";
export type { ClaimEnd, FinishClaimResult } from "./rows/finish_claim.ts";
export { createFinishClaim } from "./rows/finish_claim.ts";
export type { ClaimInput, TakeClaimResult } from "./rows/take_claim.ts";
export { ClaimState, createTakeClaim } from "./rows/take_claim.ts";
