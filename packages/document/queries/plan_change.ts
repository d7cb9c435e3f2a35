/**
 * Validates a change of one section and computes the resulting document.
 * Nothing is written here. A plan is based on one document version and is
 * discarded and made again when another change is committed first.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  type EventId,
  type InputError,
  InputErrorKind,
} from "../../core/mod.ts";
import { applyChange } from "../commands/apply_change.ts";
import type { EntryEdit } from "../commands/change_section.ts";
import type { EntryChange } from "../commands/parse_change.ts";
import {
  createState,
  type DocumentState,
  readSectionVersion,
} from "../document_state.ts";
import { FLEET_SECTION, type FleetIndex } from "../fleet_index.ts";
import type { ChangeRow } from "../rows/row_schemas.ts";
import { formatQuoted } from "../schema/object_reader.ts";
import {
  type Chunk,
  listNewChunkIds,
  listNewChunks,
  type SectionState,
} from "../section_state.ts";
import { Container } from "../text/section_parts.ts";
import { type ChangeInput, computeInputDigest } from "./change_input.ts";
import {
  type ChangeRefusal,
  createConflictRefusal,
  createInvalidRefusal,
  createUnknownSectionRefusal,
} from "./change_refusal.ts";
import {
  computeSectionChange,
  type SectionChange,
} from "./compute_section_change.ts";
import { type BudgetFacts, describeEffects } from "./describe_effects.ts";

/** A valid change that has not been committed yet. */
export interface ChangePlan {
  readonly row: ChangeRow;
  readonly section: SectionState;
  /** Chunks in which the section differs from its previous version. */
  readonly newChunks: readonly Chunk[];
  /** Entries that were added, changed or removed. */
  readonly entries: readonly EntryChange[];
  /** The document after the change. */
  readonly next: DocumentState;
}

/**
 * Maximum total length of edits that are stored in the change row, in
 * characters. For larger changes, followers read the chunks of the section.
 */
export const MAX_INLINE_EDIT_LENGTH = 16_384;

/** Plans a change of the given document, or returns why it is refused. */
export function planChange(
  state: DocumentState,
  input: ChangeInput,
): Either<ChangeRefusal, ChangePlan> {
  const isKnownSection = input.section === FLEET_SECTION ||
    state.index.teams.has(input.section);
  if (!isKnownSection) return Left(createUnknownSectionRefusal(input.section));
  const version = readSectionVersion(state, input.section);
  if (version !== input.baseVersion) {
    return Left(createConflictRefusal(state, input));
  }
  return computeSectionChange(state, input)
    .chain((change) =>
      applyChange(state.index, input.section, change)
        .chain((index) => checkSectionsOwned(state, index, change))
        .map((index) => createPlan(state, input, { change, index }))
    )
    .mapLeft(createInvalidRefusal);
}

/**
 * Returns the effects of a plan in plain language, using the current state of
 * budgets.
 */
export function describeChange(
  state: DocumentState,
  plan: ChangePlan,
  readBudget: (event: EventId) => BudgetFacts | undefined,
): readonly string[] {
  return describeEffects(state.index, plan.next.index, {
    changes: plan.entries,
    readBudget,
  });
}

/**
 * Returns the index, or an error for each removed team whose section still has
 * entries.
 */
function checkSectionsOwned(
  state: DocumentState,
  index: FleetIndex,
  change: SectionChange,
): Either<readonly InputError[], FleetIndex> {
  const teamsWithEntries = change.entries.filter(({ container, key, text }) =>
    container === Container.Teams && text === undefined &&
    hasEntries(state.sections.get(key))
  );
  if (teamsWithEntries.length === 0) return Right(index);
  return Left(teamsWithEntries.map(({ key }) => ({
    kind: InputErrorKind.UnknownReference,
    message: `The section of team ${formatQuoted(key)} still has entries`,
    remedy: "Remove the entries first, then the team.",
  })));
}

function hasEntries(section: SectionState | undefined): boolean {
  const chunks = [...section?.containers.values() ?? []].flat();
  return chunks.some((chunk) => chunk.keys.size > 0);
}

function createPlan(
  state: DocumentState,
  input: ChangeInput,
  result: { readonly change: SectionChange; readonly index: FleetIndex },
): ChangePlan {
  const { change, index } = result;
  const { section } = change;
  const before = state.sections.get(input.section);
  const version = state.version + 1;
  const effects = describeEffects(state.index, index, {
    changes: change.entries,
  });
  const row: ChangeRow = {
    version,
    changeId: input.changeId,
    section: input.section,
    sectionVersion: section.version,
    author: input.author,
    at: input.wallTime,
    effects: [...effects],
    input: computeInputDigest(input),
    newChunks: listNewChunkIds(before, section),
  };
  const sections = state.sections.add(input.section, section);
  return {
    row: isInline(change.edits)
      ? { ...row, edits: change.edits.map((edit) => ({ ...edit })) }
      : row,
    section,
    newChunks: listNewChunks(before, section),
    entries: change.entries,
    next: createState(version, sections, index),
  };
}

function isInline(
  edits: readonly EntryEdit[] | undefined,
): edits is readonly EntryEdit[] {
  if (edits === undefined) return false;
  const length = edits
    .reduce((sum, { key, text }) => sum + key.length + (text?.length ?? 0), 0);
  return length <= MAX_INLINE_EDIT_LENGTH;
}
