/** A fleet on stand-ins in one process, its client and its stored records. */
export {
  listBillIdentities,
  readBills,
  readTrialBudget,
} from "./stored_records.ts";
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
