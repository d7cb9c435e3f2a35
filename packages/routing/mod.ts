/** Choice of target, admission, retries, quarantine and drain. */
export { applyTargets } from "./commands/apply_targets.ts";
export {
  recordAttemptEnd,
  recordAttemptStart,
} from "./commands/record_attempt.ts";
export { chooseTarget } from "./queries/choose_target.ts";
export type { RoutedRequest, RoutingState, TargetState } from "./state.ts";
export { createRoutingState, TargetHealth } from "./state.ts";
