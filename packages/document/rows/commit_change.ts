/**
 * Store operations that write an accepted change: first its new chunks, then
 * the commit.
 */
import type { JsonValue, RowOperation, TeamId } from "../../core/mod.ts";
import type { Chunk, SectionState } from "../section_state.ts";
import {
  type ChangeRow,
  formatChangeKey,
  formatChunkKey,
  formatReceiptKey,
  formatSectionKey,
  formatSectionVersionKey,
  HEAD_KEY,
  HEAD_SCHEMA,
  readRow,
  RECEIPT_PREFIX,
  RECEIPT_SCHEMA,
} from "./row_schemas.ts";

/** Outcome of committing a change. */
export enum CommitState {
  /** The change is committed, by this call or an earlier one with its id. */
  Applied = "applied",
  /**
   * Another change was committed first: reload, plan the change again and
   * retry.
   */
  Conflict = "moved",
}

/** Result of committing a change. */
export interface CommitResult {
  readonly state: CommitState;
  /** Version that the change created, or the current version on a conflict. */
  readonly version: number;
}

/** Maximum number of rows in one store operation. */
const MAX_OPERATION_KEYS = 20;

/** Returns the operations that write chunks; they may run in any order. */
export function createChunkWrites(
  chunks: readonly Chunk[],
): RowOperation<void>[] {
  const operations: RowOperation<void>[] = [];
  for (let from = 0; from < chunks.length; from += MAX_OPERATION_KEYS) {
    const part = chunks.slice(from, from + MAX_OPERATION_KEYS);
    operations.push(createChunkWrite(part));
  }
  return operations;
}

/**
 * Returns the operation that commits a change; its chunks must be durable
 * before.
 */
export function createCommitChange(
  change: ChangeRow,
  section: SectionState,
): RowOperation<CommitResult> {
  const receiptKey = formatReceiptKey(change.changeId);
  return {
    id: receiptKey,
    keys: [
      HEAD_KEY,
      receiptKey,
      formatChangeKey(change.version),
      formatSectionKey(change.section),
      formatSectionVersionKey(change.section, change.sectionVersion),
    ],
    decide(rows) {
      const receipt = readRow(rows, receiptKey, RECEIPT_SCHEMA);
      if (receipt !== undefined) {
        const { version } = receipt;
        return { writes: [], result: { state: CommitState.Applied, version } };
      }
      const head = readRow(rows, HEAD_KEY, HEAD_SCHEMA)?.version ?? 0;
      if (head !== change.version - 1) {
        const result = { state: CommitState.Conflict, version: head };
        return { writes: [], result };
      }
      return {
        writes: listWrites(change, section),
        result: { state: CommitState.Applied, version: change.version },
      };
    },
  };
}

/** Returns whether an operation commits a change of the document. */
export function isCommitOperation(operation: RowOperation<unknown>): boolean {
  return operation.id.startsWith(RECEIPT_PREFIX);
}

/** Returns the value of a section-version row. */
export function formatSectionVersion(section: SectionState): JsonValue {
  const containers = [...section.containers].map(([container, chunks]) => ({
    container,
    chunks: chunks.map((chunk) => chunk.id),
  }));
  return { skeleton: section.skeleton, containers };
}

/** Returns the value of a chunk row. */
export function formatChunk(chunk: Chunk): JsonValue {
  return { entries: chunk.readEntries().map(({ key, text }) => [key, text]) };
}

function listWrites(change: ChangeRow, section: SectionState) {
  const { version, changeId, sectionVersion } = change;
  const team: TeamId = change.section;
  return [
    { key: HEAD_KEY, value: { version, changeId } },
    {
      key: formatReceiptKey(changeId),
      value: { version, section: team, input: change.input },
    },
    { key: formatChangeKey(version), value: change as unknown as JsonValue },
    { key: formatSectionKey(team), value: { version: sectionVersion } },
    {
      key: formatSectionVersionKey(team, sectionVersion),
      value: formatSectionVersion(section),
    },
  ];
}

function createChunkWrite(chunks: readonly Chunk[]): RowOperation<void> {
  const keys = chunks.map((chunk) => formatChunkKey(chunk.id));
  return {
    id: `chunks/${keys[0]}`,
    keys,
    decide(rows) {
      const writes = chunks
        .map((chunk) => ({
          key: formatChunkKey(chunk.id),
          value: formatChunk(chunk),
        }))
        .filter(({ key }) => !rows.has(key));
      return { writes, result: undefined };
    },
  };
}
