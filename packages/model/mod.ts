/**
 * Model checking of the core protocol: small transition systems whose states
 * are explored exhaustively. Each guard of the protocol can be switched off to
 * show that an invariant is violated without it.
 */
export { formatModelReport } from "./format_model_report.ts";
export { Guard } from "./guard.ts";
export type { GuardEntry, ModelCheckOptions } from "./run_model_check.ts";
export {
  DEFAULT_MAX_STATES,
  findGuard,
  listGuards,
  listModels,
  runModelCheck,
} from "./run_model_check.ts";
export type { Model, ModelReport, Violation } from "./specification.ts";
export { Invariant } from "./specification.ts";
export type {
  ClaimDecision,
  ClaimEndStatus,
  ClaimValue,
} from "./specifications/claim_value.ts";
export {
  ClaimStatus,
  decideClaim,
  decideClaimEnd,
} from "./specifications/claim_value.ts";
export type { BudgetCall, BudgetValue } from "./specifications/budget_value.ts";
export { CallKind, decideBudgetCall } from "./specifications/budget_value.ts";
