/** The operators' document: sections of teams, versions, and what they mean. */
export {
  parseDocument,
  parseDocumentSections,
} from "./queries/parse_document.ts";
export type { SectionInput } from "./queries/parse_document.ts";
export type { EntryEdit, ValueEdit } from "./commands/change_section.ts";
export type { DocumentState } from "./document_state.ts";
export { createDocumentState, readSectionVersion } from "./document_state.ts";
export { FLEET_SECTION } from "./fleet_index.ts";
export type {
  DocumentPage,
  DocumentReader,
  RecentChanges,
} from "./follow/document_reader.ts";
export {
  addRecentChange,
  MAX_RECENT_CHANGES,
  StateReader,
} from "./follow/document_reader.ts";
export type { Freshness, FreshnessReport } from "./follow/freshness.ts";
export {
  computeFreshnessState,
  createFreshness,
  createFreshnessReport,
  FreshnessState,
  isRefusedAsStale,
  recordFreshnessReport,
  recordStoreAnswer,
} from "./follow/freshness.ts";
export type { LoadedDocument } from "./follow/load_document.ts";
export { applyInlineChange, loadDocument } from "./follow/load_document.ts";
export { readHead, readHistory, readReceipt } from "./follow/read_rows.ts";
export type { BudgetFacts } from "./queries/describe_effects.ts";
export type { ChangeInput, SectionEdit } from "./queries/change_input.ts";
export type {
  ChangeRefusal,
  EntryDifference,
} from "./queries/change_refusal.ts";
export { ChangeRefusalKind } from "./queries/change_refusal.ts";
export type { ChangePlan } from "./queries/plan_change.ts";
export { describeChange, planChange } from "./queries/plan_change.ts";
export type { CommitResult } from "./rows/commit_change.ts";
export {
  CommitState,
  createChunkWrites,
  createCommitChange,
  isCommitOperation,
} from "./rows/commit_change.ts";
export type { ChangeRow, Receipt } from "./rows/row_schemas.ts";
export { formatSection } from "./section_state.ts";
export type { SubmitPorts, SubmitResult } from "./submit_change.ts";
export {
  readSectionText,
  submitChange,
  submitRollback,
  SubmitState,
} from "./submit_change.ts";
export { Container } from "./text/section_parts.ts";
