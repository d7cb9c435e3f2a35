/**
 * Carries an operator's change into the store: catches up, plans, writes the
 * chunks, commits. Changes of other sections that come between are caught up
 * with and the plan is made again, so only a race on one section is refused.
 * The operator is told of success only once the change is durable.
 */
import type { Either } from "purify-ts";
import {
  type PlatformError,
  PlatformErrorKind,
  type RowOperation,
  type TeamId,
} from "../core/mod.ts";
import type { DocumentState } from "./document_state.ts";
import type { DocumentReader } from "./follow/document_reader.ts";
import { loadDocument } from "./follow/load_document.ts";
import { readReceipt, readSection } from "./follow/read_rows.ts";
import {
  type ChangeInput,
  computeInputDigest,
} from "./queries/change_input.ts";
import {
  type ChangeRefusal,
  createIdReused,
} from "./queries/change_refusal.ts";
import { type ChangePlan, planChange } from "./queries/plan_change.ts";
import {
  CommitState,
  createChunkWrites,
  createCommitChange,
} from "./rows/commit_change.ts";
import type { ChangeRow } from "./rows/row_schemas.ts";
import { formatSection } from "./section_state.ts";

/** What became of a change. */
export enum SubmitState {
  /** It is durable. */
  Accepted = "accepted",
  /** It was durable before, under the same id. */
  AcceptedBefore = "accepted-before",
  /** It was refused; nothing was changed. */
  Refused = "refused",
  /** The store could not be reached; nothing was changed. */
  NotDone = "not-done",
  /** The store's answer was lost: ask by the change id, or submit it again. */
  Unknown = "unknown",
}

/** The answer to submitting a change. */
export type SubmitResult =
  | {
    readonly state: SubmitState.Accepted | SubmitState.AcceptedBefore;
    readonly version: number;
    /** Absent when the change was accepted before. */
    readonly change?: ChangeRow;
    /** The document as caught up with, for the VM to put in force. */
    readonly document: DocumentState;
  }
  | { readonly state: SubmitState.Refused; readonly refusal: ChangeRefusal }
  | {
    readonly state: SubmitState.NotDone | SubmitState.Unknown;
    readonly error: PlatformError;
  };

/** What submitting needs from outside. */
export interface SubmitPorts {
  readonly reader: DocumentReader;
  /** Carries out a row operation durably, as the store writer does. */
  readonly run: <Result>(
    operation: RowOperation<Result>,
  ) => Promise<Either<PlatformError, Result>>;
}

/** Times that a plan is made again because other sections changed. */
const MAX_ROUNDS = 50;

/** Submits a change, beginning with the document that the VM has. */
export async function submitChange(
  ports: SubmitPorts,
  state: DocumentState,
  input: ChangeInput,
): Promise<SubmitResult> {
  let current = state;
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const loaded = await loadDocument(ports.reader, current);
    if (loaded.isLeft()) return createNotDone(loaded.swap().unsafeCoerce());
    current = loaded.unsafeCoerce().state;
    const before = await findReceipt(ports, current, input);
    if (before !== undefined) return before;
    const plan = planChange(current, input);
    if (plan.isLeft()) {
      const refusal = plan.swap().unsafeCoerce();
      return { state: SubmitState.Refused, refusal };
    }
    const result = await commitPlan(ports, plan.unsafeCoerce());
    if (result !== undefined) return result;
  }
  return createNotDone({
    kind: PlatformErrorKind.NotDone,
    message: "The document changed too often meanwhile.",
    remedy: "Submit the change again.",
  });
}

/** Submits a change that makes a section what it was at an earlier version. */
export async function submitRollback(
  ports: SubmitPorts,
  state: DocumentState,
  input: Omit<ChangeInput, "edit"> & { readonly toVersion: number },
): Promise<SubmitResult> {
  const { toVersion, ...rest } = input;
  const text = await readSectionText(ports.reader, input.section, toVersion);
  if (text.isLeft()) return createNotDone(text.swap().unsafeCoerce());
  const edit = { text: text.unsafeCoerce() ?? "" };
  return await submitChange(ports, state, { ...rest, edit });
}

/** Returns a section's text at a version; undefined when it is not kept. */
export async function readSectionText(
  reader: DocumentReader,
  section: TeamId,
  version: number,
): Promise<Either<PlatformError, string | undefined>> {
  const input = { section, version, chunks: new Map() };
  const read = await readSection(reader, input);
  return read.map((found) => found && formatSection(found).orDefault(""));
}

async function findReceipt(
  ports: SubmitPorts,
  document: DocumentState,
  input: ChangeInput,
): Promise<SubmitResult | undefined> {
  const answer = await readReceipt(ports.reader, input.changeId);
  if (answer.isLeft()) return createNotDone(answer.swap().unsafeCoerce());
  const receipt = answer.unsafeCoerce();
  if (receipt === undefined) return undefined;
  if (receipt.input !== computeInputDigest(input)) {
    const refusal = createIdReused(input.changeId);
    return { state: SubmitState.Refused, refusal };
  }
  const { version } = receipt;
  return { state: SubmitState.AcceptedBefore, version, document };
}

/** Commits a plan; undefined when the document moved on and it must be made again. */
async function commitPlan(
  ports: SubmitPorts,
  plan: ChangePlan,
): Promise<SubmitResult | undefined> {
  for (const write of createChunkWrites(plan.newChunks)) {
    const written = await ports.run(write);
    // Chunks without a change that names them have no effect.
    if (written.isLeft()) return createNotDone(written.swap().unsafeCoerce());
  }
  const answer = await ports.run(createCommitChange(plan.row, plan.section));
  if (answer.isLeft()) return createLost(answer.swap().unsafeCoerce());
  const { state, version } = answer.unsafeCoerce();
  if (state === CommitState.Moved) return undefined;
  return {
    state: SubmitState.Accepted,
    version,
    change: plan.row,
    document: plan.next,
  };
}

function createNotDone(error: PlatformError): SubmitResult {
  return { state: SubmitState.NotDone, error };
}

function createLost(error: PlatformError): SubmitResult {
  const lost = error.kind === PlatformErrorKind.AnswerLost;
  return { state: lost ? SubmitState.Unknown : SubmitState.NotDone, error };
}
