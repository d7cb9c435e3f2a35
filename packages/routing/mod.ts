/**
 * Choice of target, admission, retries, quarantine, streams, connections and
 * control duties. This package only makes decisions: it performs no I/O, and
 * takes time and random numbers as arguments.
 */
export type {
  QueueResult,
  RefusedTicket,
  ServiceLoad,
} from "./admission/admission.ts";
export { Admission } from "./admission/admission.ts";
export { PRIORITY_ORDER } from "./admission/fair_queue.ts";
export type { CustomerDemand } from "./admission/limit_share.ts";
export { DemandTable } from "./admission/limit_share.ts";
export type { Ticket } from "./admission/ticket.ts";
export type { LeavingNotice } from "./commands/apply_leaving.ts";
export {
  applyLeavingNotices,
  applyListedTargets,
  isLeaving,
  listLeavingNotices,
  recordLeavingNotice,
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
  recordPrefillEnd,
} from "./commands/record_attempt.ts";
export { changeEvacuated } from "./commands/change_evacuated.ts";
export { changeRegion } from "./commands/change_region.ts";
export type { PeerReport } from "./commands/exchange_reports.ts";
export { applyReports, listReports } from "./commands/exchange_reports.ts";
export type { RelayCandidate } from "./path/choose_relays.ts";
export { chooseRelays } from "./path/choose_relays.ts";
export { isRefusalProven } from "./path/is_refusal_proven.ts";
export type { PathPlan } from "./path/path_table.ts";
export { PathTable, RELAY_DELAY, TargetPath } from "./path/path_table.ts";
export type { LimitNotice } from "./commands/record_limit.ts";
export { recordLimit, recordTurn } from "./commands/record_limit.ts";
export { recordPause } from "./commands/record_pause.ts";
export { recordProbe } from "./commands/record_probe.ts";
export type { PooledConnection } from "./connection/decide_reuse.ts";
export { isReusable } from "./connection/decide_reuse.ts";
export type {
  ProbeResult,
  SilentAttempt,
} from "./connection/decide_silence.ts";
export type { StalledStream } from "./stream/decide_stalled_stream.ts";
export {
  computeStallTime,
  decideStalledStream,
  StallAction,
} from "./stream/decide_stalled_stream.ts";
export { decideSilence, SilenceAction } from "./connection/decide_silence.ts";
export type {
  DutyHolder,
  DutyRow,
  KeepDutyResult,
  SeenLease,
  TakeDutyResult,
} from "./duties/duty_row.ts";
export {
  createReleaseDuty,
  createRenewDuty,
  createTakeDuty,
  formatDutyKey,
  parseDutyRow,
} from "./duties/duty_row.ts";
export { DUTY_LEASE, DUTY_RENEWAL, DutyWatch } from "./duties/duty_watch.ts";
export type {
  DesiredTargetState,
  OrderPermission,
  ReportedTargetState,
  TargetOrder,
  WeightStoreLimit,
} from "./duties/plan_orders.ts";
export { OrderPlanner, OrderType } from "./duties/plan_orders.ts";
export type { PrefixDigest } from "./prefix_table.ts";
export type {
  CrashEntry,
  CrashResult,
  QuarantineEntry,
} from "./quarantine/quarantine.ts";
export { CRASHES_TO_QUARANTINE, Quarantine } from "./quarantine/quarantine.ts";
export {
  listEntriesToSend,
  NEWEST_ENTRIES,
  OLDER_ENTRIES,
} from "./quarantine/list_entries_to_send.ts";
export type { LostAttempt, ObservedCrash } from "./quarantine/crash_watch.ts";
export { CrashWatch } from "./quarantine/crash_watch.ts";
export type {
  CrashReport,
  EvidenceReport,
  PartProof,
  QuarantinedParts,
} from "./quarantine/part_quarantine.ts";
export {
  CRASHES_TO_REFUSE_PART,
  createRequestKey,
  MAX_REPORTED_CRASHES,
  MAX_REPORTED_PARTS,
  MAX_REPORTED_PROOFS,
  PartQuarantine,
} from "./quarantine/part_quarantine.ts";
export type { ChooseInput } from "./queries/choose_target.ts";
export { chooseTarget } from "./queries/choose_target.ts";
export type {
  Placement,
  PlacementInput,
  TurnClock,
} from "./queries/choose_placement.ts";
export {
  choosePlacement,
  findPausedRefusal,
} from "./queries/choose_placement.ts";
export { computeLoad, computeOthersInFlight } from "./queries/compute_load.ts";
export { computeMaxLoad } from "./queries/compute_max_load.ts";
export { describeRouting } from "./queries/describe_routing.ts";
export type { SlowCall } from "./retry/decide_hedge.ts";
export { decideHedge } from "./retry/decide_hedge.ts";
export type { FailedAttempt, RetryDecision } from "./retry/decide_retry.ts";
export {
  computeBackoff,
  decideRetry,
  hasReachedTarget,
  RetryAction,
} from "./retry/decide_retry.ts";
export { FirstByteTimes } from "./retry/first_byte_times.ts";
export type { RetryCounts } from "./retry/retry_budget.ts";
export { ExtraAttempt, RetryBudgets } from "./retry/retry_budget.ts";
export type { RoutedRequest, RoutingState } from "./state.ts";
export { createRoutingState } from "./state.ts";
export {
  chooseRecordHolders,
  chooseVmsToAsk,
  RECORD_HOLDERS,
} from "./stream/choose_record_holders.ts";
export type { ListedRelease, SeenReleases } from "./stream/release_history.ts";
export {
  findOnlyRelease,
  MAX_LIST_AGE,
  ReleaseHistory,
} from "./stream/release_history.ts";
export type {
  RecordedRelease,
  ReleaseRecord,
  ReleaseSight,
} from "./stream/release_record.ts";
export {
  listRecordedReleases,
  planReleaseRecord,
} from "./stream/release_record.ts";
export type { AnswerProgress } from "./stream/answer_assembler.ts";
export { AnswerAssembler, ChunkAction } from "./stream/answer_assembler.ts";
export {
  BackpressureAction,
  decideBackpressure,
} from "./stream/decide_backpressure.ts";
export {
  applyReportedCold,
  type ColdPeriod,
  ColdReason,
  type ColdTimes,
  findColdPeriod,
  recordAnswered,
  recordColdEvent,
  recordUnreached,
} from "./cold_target/cold_times.ts";
export type { ColdTurns } from "./cold_target/compute_cold_turns.ts";
export { computeColdTurns } from "./cold_target/compute_cold_turns.ts";
export type { ColdTurnClock } from "./cold_target/find_cold_turn.ts";
export { findColdTurn } from "./cold_target/find_cold_turn.ts";
export type { TurnGroup } from "./cold_target/turn_groups.ts";
export { TurnGroups } from "./cold_target/turn_groups.ts";
export { TurnTime } from "./cold_target/turn_time.ts";
export { recordCold, recordColdTurn } from "./commands/record_cold.ts";
export type { TurnInput, VmOrder } from "./target_limit/find_turn.ts";
export { computeNextTurn, findTurn } from "./target_limit/find_turn.ts";
export type { TargetLimit, TargetState } from "./target_state.ts";
export {
  computeHealth,
  createTargetState,
  TargetHealth,
} from "./target_state.ts";
