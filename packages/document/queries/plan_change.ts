/**
 * Decides whether a change of one section is accepted, and what it makes of the
 * document. Nothing is written here: the plan is committed with the version it
 * was made from, and made again when the document has moved on.
 */
import { createHash } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import {
  type EventId,
  type InputError,
  InputErrorKind,
  type TeamId,
  type WallTime,
} from "../../core/mod.ts";
import { applyEntries, type EntryChange } from "../commands/apply_entries.ts";
import { applyGeneral } from "../commands/apply_general.ts";
import {
  changeSection,
  type EntryEdit,
  planEntryEdits,
  type ValueEdit,
} from "../commands/change_section.ts";
import {
  createState,
  type DocumentState,
  readSectionVersion,
} from "../document_state.ts";
import { FLEET_SECTION, type FleetIndex } from "../fleet_index.ts";
import type { ChangeRow } from "../rows/row_schemas.ts";
import { quote } from "../schema/node_reader.ts";
import {
  type Chunk,
  createSectionState,
  findSectionEntry,
  formatSection,
  isSameText,
  listChangedChunks,
  listEntries,
  listNewChunkIds,
  listNewChunks,
  type SectionState,
} from "../section_state.ts";
import { checkEnd, parseMembers } from "../text/members.ts";
import {
  Container,
  type Cut,
  parseSectionParts,
  type SectionParts,
} from "../text/section_parts.ts";
import { SourceText } from "../text/source_text.ts";
import { type BudgetFacts, describeEffects } from "./describe_effects.ts";
import { createSyntaxError } from "./parse_document.ts";

/** What is to change: the whole text of a section, or values of entries. */
export type SectionEdit =
  | { readonly text: string }
  | { readonly values: readonly ValueEdit[] };

/** A change that an operator asks for. */
export interface ChangeInput {
  /** Chosen by the operator's tool; a repeated id is applied once. */
  readonly changeId: string;
  readonly section: TeamId;
  /** Version of the section that the change was made from. */
  readonly baseVersion: number;
  readonly edit: SectionEdit;
  readonly author: string;
  readonly wallTime: WallTime;
}

/** Why a change was refused. */
export enum ChangeRefusalKind {
  /** Another change of this section came first. */
  SectionMoved = "section-moved",
  /** The text, or the whole with it, is faulty. */
  Invalid = "invalid",
  /** The section belongs to no team. */
  UnknownSection = "unknown-section",
  /** The change id was used for another change. */
  ChangeIdReused = "change-id-reused",
}

/** An entry that differs between the section in force and the one submitted. */
export interface EntryDifference {
  readonly name: string;
  readonly current?: string;
  readonly submitted?: string;
}

/** A refused change; nothing of it took effect. */
export interface ChangeRefusal {
  readonly kind: ChangeRefusalKind;
  readonly message: string;
  readonly remedy: string;
  readonly errors: readonly InputError[];
  /** Version and text in force, and where the submitted one differs. */
  readonly current?: { readonly version: number; readonly text: string };
  readonly differences: readonly EntryDifference[];
}

/** An accepted change that has not been committed. */
export interface ChangePlan {
  readonly row: ChangeRow;
  readonly section: SectionState;
  /** Chunks that the section before the change did not have. */
  readonly newChunks: readonly Chunk[];
  /** The entries that are new, changed or removed. */
  readonly entries: readonly EntryChange[];
  /** The document once the change is in. */
  readonly next: DocumentState;
}

/** Largest change that its row carries, in characters; larger ones are read by chunk. */
export const MAX_CARRIED_EDIT = 16_384;

/** Longest entry or skeleton, in characters. */
const MAX_PART_LENGTH = 262_144;

interface SectionChange {
  readonly section: SectionState;
  readonly entries: readonly EntryChange[];
  /** Edits that make the section from the one before; absent when they cannot. */
  readonly edits?: readonly EntryEdit[];
  readonly source: SourceText;
  readonly cuts: readonly Cut[];
}

/** Plans a change against the document as it stands. */
export function planChange(
  state: DocumentState,
  input: ChangeInput,
): Either<ChangeRefusal, ChangePlan> {
  const known = input.section === FLEET_SECTION ||
    state.index.teams.has(input.section);
  if (!known) return Left(createUnknownSection(input.section));
  const version = readSectionVersion(state, input.section);
  if (version !== input.baseVersion) return Left(createMoved(state, input));
  return changeText(state, input)
    .chain((change) =>
      applyChange(state.index, input.section, change)
        .chain((index) => checkSectionsOwned(state, index, change))
        .map((index) => createPlan(state, input, { change, index }))
    )
    .mapLeft(createInvalid);
}

/** Returns the effects of a plan in plain language, with budgets as they are. */
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

/** Returns a digest of what a change asks for. */
export function computeInputDigest(input: ChangeInput): string {
  const { section, baseVersion, edit } = input;
  const content = JSON.stringify({ section, baseVersion, edit });
  return createHash("sha256").update(content).digest("hex");
}

/** Applies a change that was accepted before, as a follower does. */
export function applyChange(
  index: FleetIndex,
  section: TeamId,
  change: Pick<SectionChange, "section" | "entries" | "source" | "cuts">,
): Either<readonly InputError[], FleetIndex> {
  const { source, cuts } = change;
  const { skeleton } = change.section;
  const general = section === FLEET_SECTION
    ? Right(index)
    : applyGeneral(index, { section, skeleton, cuts, source, offset: 0 });
  return general.chain((next) => applyEntries(next, change.entries));
}

/** Refuses to take away a team whose section still has entries. */
function checkSectionsOwned(
  state: DocumentState,
  index: FleetIndex,
  change: SectionChange,
): Either<readonly InputError[], FleetIndex> {
  const left = change.entries.filter(({ container, key, text }) =>
    container === Container.Teams && text === undefined &&
    hasEntries(state.sections.get(key))
  );
  if (left.length === 0) return Right(index);
  return Left(left.map(({ key }) => ({
    kind: InputErrorKind.UnknownReference,
    message: `The section of team ${quote(key)} still has entries`,
    remedy: "Take these out first, then remove the team.",
  })));
}

function hasEntries(section: SectionState | undefined): boolean {
  const chunks = [...section?.containers.values() ?? []].flat();
  return chunks.some((chunk) => chunk.keys.size > 0);
}

/** Returns the entry changes that lead from one text of a section to another. */
export function listEntryChanges(
  section: TeamId,
  input: {
    readonly before: SectionState | undefined;
    readonly after: SectionState;
    readonly source: SourceText;
    readonly offsets?: ReadonlyMap<string, number>;
  },
): EntryChange[] {
  const changes: EntryChange[] = [];
  for (const container of Object.values(Container)) {
    const before = listChangedEntries(input.before, input.after, container);
    const after = listChangedEntries(input.after, input.before, container);
    for (const [key, text] of after) {
      if (before.get(key) === text) continue;
      const offset = input.offsets?.get(`${container}/${key}`) ?? 0;
      const source = input.offsets === undefined
        ? new SourceText(`${section}/${container}/${key}`, text)
        : input.source;
      changes.push({ section, container, key, text, source, offset });
    }
    for (const key of before.keys()) {
      if (after.has(key)) continue;
      if (findSectionEntry(input.after, container, key) !== undefined) continue;
      const { source } = input;
      changes.push({ section, container, key, source, offset: 0 });
    }
  }
  return changes;
}

/** Entries of the chunks that the other section does not have. */
function listChangedEntries(
  section: SectionState | undefined,
  other: SectionState | undefined,
  container: Container,
): ReadonlyMap<string, string> {
  const chunks = listChangedChunks(
    section?.containers.get(container) ?? [],
    other?.containers.get(container) ?? [],
  );
  return new Map(
    chunks.flatMap((chunk) => chunk.readEntries())
      .map(({ key, text }) => [key, text]),
  );
}

function changeText(
  state: DocumentState,
  input: ChangeInput,
): Either<readonly InputError[], SectionChange> {
  const before = state.sections.get(input.section);
  return "text" in input.edit
    ? changeWhole(before, input, input.edit.text)
    : changeValues(before, input, input.edit.values);
}

function changeWhole(
  before: SectionState | undefined,
  input: ChangeInput,
  text: string,
): Either<readonly InputError[], SectionChange> {
  const source = new SourceText(input.section, text);
  return parseWhole(source).chain((parts) => {
    const long = findLongPart(source, parts);
    if (long.length > 0) return Left(long);
    const twice = findDuplicate(source, parts);
    if (twice.length > 0) return Left(twice);
    const section = createSectionState(parts, input.baseVersion + 1);
    const offsets = listOffsets(parts);
    const entries = listEntryChanges(input.section, {
      before,
      after: section,
      source,
      offsets,
    });
    const edits = findEdits(before, section, entries);
    const change = { section, entries, source, cuts: parts.cuts };
    return Right(edits === undefined ? change : { ...change, edits });
  });
}

function parseWhole(
  source: SourceText,
): Either<readonly InputError[], SectionParts> {
  const { text } = source;
  const end = parseMembers(text, 0).map((object) => object.end)
    .chain((offset) => {
      const rest = checkEnd(text, offset + 1);
      return rest === undefined ? Right(offset) : Left(rest);
    });
  return end.chain(() => parseSectionParts(text))
    .mapLeft((fault) => [createSyntaxError(source, fault)]);
}

function listOffsets(parts: SectionParts): ReadonlyMap<string, number> {
  const offsets = new Map<string, number>();
  for (const [container, entries] of parts.entries) {
    for (const { key, offset } of entries) {
      offsets.set(`${container}/${key}`, offset);
    }
  }
  return offsets;
}

function findLongPart(source: SourceText, parts: SectionParts): InputError[] {
  const long = [...parts.entries.values()].flat()
    .find((entry) => entry.text.length > MAX_PART_LENGTH);
  if (parts.skeleton.length <= MAX_PART_LENGTH && long === undefined) return [];
  return [{
    kind: InputErrorKind.OutOfRange,
    message: long === undefined
      ? "The part of the section besides its entries is too long"
      : `The entry ${quote(long.key)} is too long`,
    remedy: `Keep each below ${MAX_PART_LENGTH} characters.`,
    place: source.findPlace(long?.offset ?? 0),
  }];
}

function findDuplicate(source: SourceText, parts: SectionParts): InputError[] {
  return [...parts.entries.values()].flatMap((entries) => {
    const seen = new Set<string>();
    return entries.flatMap(({ key, offset, text }) => {
      if (!seen.has(key)) {
        seen.add(key);
        return [];
      }
      return [{
        kind: InputErrorKind.Duplicate,
        message: `The section has ${quote(key)} twice`,
        remedy: "Keep one of the two.",
        place: source.findPlace(offset + Math.max(0, text.indexOf('"'))),
      }];
    });
  });
}

/** Returns the edits that make the new text from the old one, if some do. */
function findEdits(
  before: SectionState | undefined,
  after: SectionState,
  entries: readonly EntryChange[],
): readonly EntryEdit[] | undefined {
  if (before === undefined || before.skeleton !== after.skeleton) {
    return undefined;
  }
  const edits = entries.map(createEntryEdit);
  const made = changeSection(before, edits);
  return isSameText(made, after) ? edits : undefined;
}

function createEntryEdit({ container, key, text }: EntryChange): EntryEdit {
  return text === undefined ? { container, key } : { container, key, text };
}

function changeValues(
  before: SectionState | undefined,
  input: ChangeInput,
  values: readonly ValueEdit[],
): Either<readonly InputError[], SectionChange> {
  const faults = values.flatMap((value) => listValueFaults(input, value));
  if (faults.length > 0) return Left(faults);
  const base = addContainers(before ?? createEmptySection(), values);
  const edits = planEntryEdits(base, values);
  const section = {
    ...changeSection(base, edits),
    version: input.baseVersion + 1,
  };
  const source = new SourceText(input.section, "");
  const entries = listEntryChanges(input.section, {
    before,
    after: section,
    source,
  });
  const change = { section, entries, source, cuts: [] };
  const same = before?.skeleton === section.skeleton;
  return Right(same ? { ...change, edits } : change);
}

function listValueFaults(input: ChangeInput, edit: ValueEdit): InputError[] {
  if (edit.value === undefined) return [];
  const name = `${input.section}/${edit.container}/${edit.key}`;
  const source = new SourceText(name, edit.value);
  const end = parseMembers(edit.value, 0).chain((object) => {
    const rest = checkEnd(edit.value ?? "", object.end + 1);
    return rest === undefined ? Right(object) : Left(rest);
  });
  if (end.isLeft()) {
    return [createSyntaxError(source, end.swap().unsafeCoerce())];
  }
  if (edit.value.length <= MAX_PART_LENGTH) return [];
  return [{
    kind: InputErrorKind.OutOfRange,
    message: `The entry ${quote(edit.key)} is too long`,
    remedy: `Keep it below ${MAX_PART_LENGTH} characters.`,
    place: source.findPlace(0),
  }];
}

function createEmptySection(): SectionState {
  return { version: 0, skeleton: "{\n}\n", containers: new Map() };
}

/** Returns the section with the containers that the edits need. */
function addContainers(
  section: SectionState,
  values: readonly ValueEdit[],
): SectionState {
  let { skeleton } = section;
  const containers = new Map(section.containers);
  for (const { container } of values) {
    if (containers.has(container)) continue;
    const open = skeleton.indexOf("{", findRootOffset(skeleton)) + 1;
    skeleton = `${skeleton.slice(0, open)}\n  "${container}": {},${
      skeleton.slice(open)
    }`;
    containers.set(container, []);
  }
  return { ...section, skeleton, containers };
}

function findRootOffset(skeleton: string): number {
  return parseMembers(skeleton, 0).map((object) => object.start - 1)
    .orDefault(0);
}

function createPlan(
  state: DocumentState,
  input: ChangeInput,
  made: { readonly change: SectionChange; readonly index: FleetIndex },
): ChangePlan {
  const { change, index } = made;
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
    row: isCarried(change.edits)
      ? { ...row, edits: change.edits.map((edit) => ({ ...edit })) }
      : row,
    section,
    newChunks: listNewChunks(before, section),
    entries: change.entries,
    next: createState(version, sections, index),
  };
}

function isCarried(
  edits: readonly EntryEdit[] | undefined,
): edits is readonly EntryEdit[] {
  if (edits === undefined) return false;
  const length = edits
    .reduce((sum, { key, text }) => sum + key.length + (text?.length ?? 0), 0);
  return length <= MAX_CARRIED_EDIT;
}

function createInvalid(errors: readonly InputError[]): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.Invalid,
    message: `The change has ${errors.length} faults; nothing was changed.`,
    remedy: "Correct each fault at its place and submit the change again.",
    errors,
    differences: [],
  };
}

/** Returns the refusal of a change whose id belongs to another change. */
export function createIdReused(changeId: string): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.ChangeIdReused,
    message: `The change id ${quote(changeId)} belongs to another change.`,
    remedy: "Submit the change under a new id.",
    errors: [],
    differences: [],
  };
}

function createUnknownSection(section: TeamId): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.UnknownSection,
    message: `The section ${quote(section)} belongs to no team.`,
    remedy: "Add the team first, or correct the name.",
    errors: [],
    differences: [],
  };
}

function createMoved(state: DocumentState, input: ChangeInput): ChangeRefusal {
  const current = state.sections.get(input.section);
  const version = current?.version ?? 0;
  const text = current === undefined
    ? ""
    : formatSection(current).orDefault("");
  return {
    kind: ChangeRefusalKind.SectionMoved,
    message:
      `The section is at version ${version} and the change was made from version ${input.baseVersion}; nothing was changed.`,
    remedy:
      "Look at the differences, make the change again on the current text and submit it with its version.",
    errors: [],
    current: { version, text },
    differences: listDifferences(current, input.edit),
  };
}

/** Returns the entries in which a submitted text differs from the current one. */
function listDifferences(
  current: SectionState | undefined,
  edit: SectionEdit,
): EntryDifference[] {
  if (!("text" in edit)) {
    return edit.values.map(({ container, key, value }) =>
      createDifference(
        `${container}/${key}`,
        current && findSectionEntry(current, container, key)?.text,
        value,
      )
    );
  }
  const submitted = parseSectionParts(edit.text)
    .map((parts) => createSectionState(parts, 0))
    .orDefault(createEmptySection());
  return Object.values(Container).flatMap((container) => {
    const before = listTexts(current, container);
    const after = listTexts(submitted, container);
    const names = new Set([...before.keys(), ...after.keys()]);
    return [...names]
      .filter((key) => before.get(key) !== after.get(key))
      .map((key) =>
        createDifference(
          `${container}/${key}`,
          before.get(key),
          after.get(key),
        )
      );
  });
}

function listTexts(
  section: SectionState | undefined,
  container: Container,
): ReadonlyMap<string, string> {
  const entries = section === undefined ? [] : listEntries(section, container);
  return new Map(entries.map(({ key, text }) => [key, text]));
}

function createDifference(
  name: string,
  current: string | undefined,
  submitted: string | undefined,
): EntryDifference {
  return {
    name,
    ...(current === undefined ? {} : { current }),
    ...(submitted === undefined ? {} : { submitted }),
  };
}
