/** Budgets in escrow: grants, reservations, settlement and top-ups. */
export type { EventAccount, Grant, Reservation } from "./account.ts";
export { computeGrantRoom, createEventAccount } from "./account.ts";
export { dropGrant } from "./commands/drop_grant.ts";
export { receiveGrant } from "./commands/receive_grant.ts";
export type { ReserveResult, Shortfall } from "./commands/reserve_tokens.ts";
export { reserveTokens } from "./commands/reserve_tokens.ts";
export { settleReservation } from "./commands/settle_reservation.ts";
export type { GrantPlan } from "./queries/plan_grants.ts";
export { planGrants } from "./queries/plan_grants.ts";
export type { BudgetRow, GrantEntry } from "./rows/budget_row.ts";
export {
  computeBudgetLeft,
  computeGranted,
  createBudgetRow,
  formatBudgetKey,
  parseBudgetRow,
} from "./rows/budget_row.ts";
export type { CloseGrantResult } from "./rows/close_grant.ts";
export { createCloseGrant } from "./rows/close_grant.ts";
export type { TakeGrantInput, TakeGrantResult } from "./rows/take_grant.ts";
export { createTakeGrant } from "./rows/take_grant.ts";
export type { TopUpResult } from "./rows/top_up.ts";
export { createTopUp } from "./rows/top_up.ts";
