/** Choice of target, admission, retries, quarantine and drain. */
export type { LeavingSign } from "./commands/apply_leaving.ts";
export {
  applyLeavingSigns,
  applyListedTargets,
  isLeaving,
  listLeavingSigns,
  recordLeavingWord,
} from "./commands/apply_leaving.ts";
export type { CacheEvent } from "./commands/apply_report.ts";
export {
  applyCacheEvents,
  applyReport,
  CacheChange,
} from "./commands/apply_report.ts";
export { applyTargets } from "./commands/apply_targets.ts";
export type { AttemptFinish, AttemptStart } from "./commands/record_attempt.ts";
export {
  recordAttemptEnd,
  recordAttemptStart,
} from "./commands/record_attempt.ts";
export type { PrefixDigest } from "./prefix_table.ts";
export type { ChooseInput } from "./queries/choose_target.ts";
export { chooseTarget } from "./queries/choose_target.ts";
export { computeLoad, computeOthers } from "./queries/compute_load.ts";
export type { RoutedRequest, RoutingState } from "./state.ts";
export { createRoutingState } from "./state.ts";
export type { TargetState } from "./target_state.ts";
export { computeHealth, TargetHealth } from "./target_state.ts";
