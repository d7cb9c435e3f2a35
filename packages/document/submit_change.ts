/**
 * Submits an operator's change: loads the newest document, plans the change,
 * writes its new chunks and commits it. When another change was committed in
 * the meantime, the document is loaded and the change planned again, so only a
 * concurrent change of the same section causes a refusal. Success is reported
 * only when the change is durable.
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
  createIdReusedRefusal,
} from "./queries/change_refusal.ts";
import { type ChangePlan, planChange } from "./queries/plan_change.ts";
import {
  CommitState,
  createChunkWrites,
  createCommitChange,
} from "./rows/commit_change.ts";
import type { ChangeRow } from "./rows/row_schemas.ts";
import { formatSection } from "./section_state.ts";

/** Outcome of submitting a change. */
export enum SubmitState {
  /** The change is durable. */
  Accepted = "accepted",
  /** The change was already durable from an earlier submission with this id. */
  AcceptedBefore = "accepted-before",
  /** The change was refused; nothing was changed. */
  Refused = "refused",
  /**
   * The document's rows could not be read or written, or the document changed
   * too often; nothing was changed.
   */
  NotDone = "not-done",
  /**
   * The store's answer was lost, so the change may or may not be durable: look
   * it up by its change id, or submit it again.
   */
  Unknown = "unknown",
}

/** Result of submitting a change. */
export type SubmitResult =
  | {
    readonly state: SubmitState.Accepted | SubmitState.AcceptedBefore;
    readonly version: number;
    /** Absent when an earlier submission was accepted. */
    readonly change?: ChangeRow;
    /** The newest loaded document, for the VM to apply. */
    readonly document: DocumentState;
  }
  | { readonly state: SubmitState.Refused; readonly refusal: ChangeRefusal }
  | {
    readonly state: SubmitState.NotDone | SubmitState.Unknown;
    readonly error: PlatformError;
  };

/** Access to the store that submitting a change requires. */
export interface SubmitPorts {
  readonly reader: DocumentReader;
  /** Executes a row operation durably, as the store writer does. */
  readonly run: <Result>(
    operation: RowOperation<Result>,
  ) => Promise<Either<PlatformError, Result>>;
}

/**
 * Maximum number of times that a change is planned when other changes are
 * committed in the meantime.
 */
const MAX_ATTEMPTS = 50;

/**
 * Submits a change; loading starts from the document that the VM already has.
 */
export async function submitChange(
  ports: SubmitPorts,
  state: DocumentState,
  input: ChangeInput,
): Promise<SubmitResult> {
  let current = state;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const loaded = await loadDocument(ports.reader, current);
    if (loaded.isLeft()) return createNotDone(loaded.swap().unsafeCoerce());
    current = loaded.unsafeCoerce().state;
    const earlierResult = await findReceipt(ports, current, input);
    if (earlierResult !== undefined) return earlierResult;
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
    message: "The document kept changing while the change was submitted.",
    remedy: "Submit the change again.",
  });
}

/**
 * Submits a change that restores the text that a section had at an earlier
 * version.
 */
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

/**
 * Returns a section's text at a version; undefined when its rows are absent.
 */
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
    const refusal = createIdReusedRefusal(input.changeId);
    return { state: SubmitState.Refused, refusal };
  }
  const { version } = receipt;
  return { state: SubmitState.AcceptedBefore, version, document };
}

/**
 * Commits a plan; undefined when the document changed and a new plan is needed.
 */
async function commitPlan(
  ports: SubmitPorts,
  plan: ChangePlan,
): Promise<SubmitResult | undefined> {
  for (const write of createChunkWrites(plan.newChunks)) {
    const written = await ports.run(write);
    // Chunks that no committed change refers to have no effect.
    if (written.isLeft()) return createNotDone(written.swap().unsafeCoerce());
  }
  const answer = await ports.run(createCommitChange(plan.row, plan.section));
  if (answer.isLeft()) return createCommitFailure(answer.swap().unsafeCoerce());
  const { state, version } = answer.unsafeCoerce();
  if (state === CommitState.Conflict) return undefined;
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

function createCommitFailure(error: PlatformError): SubmitResult {
  const isAnswerLost = error.kind === PlatformErrorKind.AnswerLost;
  return {
    state: isAnswerLost ? SubmitState.Unknown : SubmitState.NotDone,
    error,
  };
}
