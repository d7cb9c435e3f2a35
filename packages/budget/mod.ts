/**
 * Prepaid token budgets. VMs take grants of tokens from a budget row in the
 * store, reserve and settle tokens for requests, lend tokens to each other, and
 * return what is unused. Also covers write-offs and changes of limits.
 */
export { BorrowerDemand } from "./loans/borrower_demand.ts";
export type {
  EventAccount,
  Grant,
  LoanAnswer,
  LoanPart,
  OutstandingLoan,
  PendingLoan,
  Reservation,
  ReservationPart,
  SettledLoan,
  VmIncarnation,
} from "./account.ts";
export {
  computeAccountRoom,
  computeGrantRoom,
  computeLent,
  computeReserved,
  createEventAccount,
  isGrantOpen,
  releaseLoans,
} from "./account.ts";
export type { AccountChange } from "./accounts.ts";
export { Accounts } from "./accounts.ts";
export { AccountSchedule } from "./account_schedule.ts";
export { closeGrants, shrinkGrant } from "./commands/close_grants.ts";
export { dropGrant } from "./commands/drop_grant.ts";
export type { ExchangeInput } from "./commands/plan_exchange.ts";
export {
  planExchange,
  planLastExchange,
  receiveExchange,
} from "./commands/plan_exchange.ts";
export { addUnlockedTokens } from "./commands/add_unlocked_tokens.ts";
export { receiveGrant } from "./commands/receive_grant.ts";
export type { ReserveResult, Shortfall } from "./commands/reserve_tokens.ts";
export { reserveTokens } from "./commands/reserve_tokens.ts";
export { settleReservation } from "./commands/settle_reservation.ts";
export { SpendingMeter } from "./holding/spending_meter.ts";
export type { HolderInput } from "./holding/decide_holder.ts";
export { decideHolder, MAX_HOLDERS_BY_SHARE } from "./holding/decide_holder.ts";
export type {
  HoldingInput,
  HoldingTargets,
  StandbyHolding,
} from "./holding/plan_holding.ts";
export {
  computeHoldingTargets,
  planHolding,
  sumStandbySizes,
} from "./holding/plan_holding.ts";
export { computeRates, RATE_WINDOW } from "./account_rates.ts";
export type { LoanPlan } from "./loans/borrow_tokens.ts";
export {
  listSettledLoans,
  listUnansweredLoans,
  LOAN_RETRY_TIME,
  MAX_PENDING_LOANS,
  planLoans,
  receiveLoan,
  recordLoanRequest,
  removeReportedLoans,
} from "./loans/borrow_tokens.ts";
export type {
  LendResult,
  LoanReport,
  LoanRequest,
} from "./loans/lend_tokens.ts";
export {
  lendTokens,
  MAX_LOANS_PER_GRANT,
  settleLoans,
} from "./loans/lend_tokens.ts";
export type { WaitingRequest } from "./queries/choose_waiting.ts";
export {
  chooseRequestToBorrowFor,
  listServable,
  listUnservable,
} from "./queries/choose_waiting.ts";
export type {
  GrantSizing,
  GrantTargets,
  TargetInput,
} from "./queries/compute_grant_targets.ts";
export {
  computeGrantTargets,
  GRANT_SIZING,
  REFILL_TIME,
  START_FACTOR,
} from "./queries/compute_grant_targets.ts";
export type { GrantReturn } from "./queries/choose_grant_returns.ts";
export {
  chooseLoansKept,
  LOAN_IDLE_TIME,
} from "./queries/choose_loans_kept.ts";
export type { GrantPlan, PlanInput } from "./queries/plan_grants.ts";
export {
  computeNextDue,
  GRANT_TERM,
  planGrants,
  RENEW_TIME,
} from "./queries/plan_grants.ts";
export type {
  BudgetRow,
  GrantEntry,
  LoanEntry,
  WriteOffEntry,
} from "./rows/budget_row.ts";
export {
  computeBudgetLeft,
  computeGranted,
  createBudgetRow,
  formatBudgetKey,
  MAX_OUTSTANDING_LOANS,
  MAX_WRITE_OFFS,
  parseBudgetRow,
} from "./rows/budget_row.ts";
export type { KnownRow } from "./restore/merge_known_row.ts";
export {
  isRestoring,
  isRowMerged,
  MAX_RESTORE_PAUSE,
  mergeKnownRow,
  recordChange,
  RESTORE_PAUSE,
} from "./restore/merge_known_row.ts";
export type { CloseGrantResult } from "./rows/close_grant.ts";
export { createCloseGrant } from "./rows/close_grant.ts";
export type {
  ExchangeLimits,
  GrantExchange,
  GrantExchangeResult,
} from "./rows/exchange_grants.ts";
export { createGrantExchange, isReturning } from "./rows/exchange_grants.ts";
export type { LowerLimitResult } from "./rows/lower_limit.ts";
export { createLowerLimit } from "./rows/lower_limit.ts";
export type {
  GrantClose,
  GrantShrink,
  GrantTake,
  LoanReturn,
} from "./rows/row_changes.ts";
export type { TakeGrantInput, TakeGrantResult } from "./rows/take_grant.ts";
export { createTakeGrant } from "./rows/take_grant.ts";
export type { TopUpResult } from "./rows/top_up.ts";
export { createTopUp } from "./rows/top_up.ts";
export type {
  InsufficientEvidence,
  LossEvidence,
  WriteOffResult,
} from "./rows/write_off.ts";
export { createWriteOff, LossEvidenceKind } from "./rows/write_off.ts";
export type { EndedIncarnations } from "./standby/end_earlier_incarnations.ts";
export { createEndEarlierIncarnations } from "./standby/end_earlier_incarnations.ts";
export type {
  EarlierIncarnation,
  IncarnationEnd,
  Presence,
} from "./standby/presence_row.ts";
export {
  computeUnlockedFraction,
  computeUnlockTime,
  createPresenceWrite,
  findEarlierIncarnation,
  formatPresenceKey,
  parsePresence,
} from "./standby/presence_row.ts";
export type {
  StandbyExchange,
  StandbyTake,
} from "./standby/standby_changes.ts";
