/** A fleet on stand-ins in one process, its caller and its books. */
export { listBillIdentities, readBills, readTrialBudget } from "./books.ts";
export type { TrialAnswer, TrialCall } from "./caller.ts";
export { callEntry, createChatBody, readStreamText } from "./caller.ts";
export type { FleetOptions, TrialFleet } from "./fleet.ts";
export {
  computeKeyHash,
  CUSTOMER_KEY,
  OTHER_CUSTOMER_KEY,
  startTrialFleet,
  TEAM_KEY,
} from "./fleet.ts";
export {
  BUDGET_TOKENS,
  createTrialDocument,
  EVENT_ID,
} from "./trial_document.ts";
