/** Computes the text of a section after a requested change. */
import { type Either, Left, Right } from "purify-ts";
import { type InputError, InputErrorKind } from "../../core/mod.ts";
import {
  changeSection,
  type EntryEdit,
  planEntryEdits,
  type ValueEdit,
} from "../commands/change_section.ts";
import type { EntryChange } from "../commands/parse_change.ts";
import type { DocumentState } from "../document_state.ts";
import { formatQuoted } from "../schema/object_reader.ts";
import {
  createEmptySection,
  createSectionState,
  isSameText,
  type SectionState,
} from "../section_state.ts";
import { checkEnd, parseMembers } from "../text/members.ts";
import {
  parseSectionParts,
  type RemovedRange,
  type SectionParts,
} from "../text/section_parts.ts";
import { SourceText } from "../text/source_text.ts";
import type { ChangeInput } from "./change_input.ts";
import { listEntryChanges } from "./list_entry_changes.ts";
import { createSyntaxError } from "./parse_document.ts";

/** Maximum length of an entry or skeleton, in characters. */
const MAX_PART_LENGTH = 262_144;

/** A section after a change, and its differences from the previous version. */
export interface SectionChange {
  readonly section: SectionState;
  readonly entries: readonly EntryChange[];
  /**
   * Edits that produce the section from the previous version; absent when edits
   * of entries cannot, for example because the skeleton differs.
   */
  readonly edits?: readonly EntryEdit[];
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  readonly removedRanges: readonly RemovedRange[];
}

/**
 * Returns the section after the change, or the errors of the submitted text.
 */
export function computeSectionChange(
  state: DocumentState,
  input: ChangeInput,
): Either<readonly InputError[], SectionChange> {
  const before = state.sections.get(input.section);
  return "text" in input.edit
    ? computeTextChange(before, input, input.edit.text)
    : computeValuesChange(before, input, input.edit.values);
}

function computeTextChange(
  before: SectionState | undefined,
  input: ChangeInput,
  text: string,
): Either<readonly InputError[], SectionChange> {
  const source = new SourceText(input.section, text);
  return parseSectionText(source).chain((parts) => {
    const tooLong = findLongPart(source, parts);
    if (tooLong.length > 0) return Left(tooLong);
    const duplicates = findDuplicates(source, parts);
    if (duplicates.length > 0) return Left(duplicates);
    const section = createSectionState(parts, input.baseVersion + 1);
    const offsets = listOffsets(parts);
    const entries = listEntryChanges(input.section, {
      before,
      after: section,
      source,
      offsets,
    });
    const edits = findEdits(before, section, entries);
    const change = {
      section,
      entries,
      source,
      removedRanges: parts.removedRanges,
    };
    return Right(edits === undefined ? change : { ...change, edits });
  });
}

function parseSectionText(
  source: SourceText,
): Either<readonly InputError[], SectionParts> {
  const { text } = source;
  const end = parseMembers(text, 0).map((object) => object.end)
    .chain((offset) => {
      const extra = checkEnd(text, offset + 1);
      return extra === undefined ? Right(offset) : Left(extra);
    });
  return end.chain(() => parseSectionParts(text))
    .mapLeft((error) => [createSyntaxError(source, error)]);
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
      ? "The part of the section outside its entries is too long"
      : `The entry ${formatQuoted(long.key)} is too long`,
    remedy: `Use at most ${MAX_PART_LENGTH} characters.`,
    place: source.findPlace(long?.offset ?? 0),
  }];
}

function findDuplicates(source: SourceText, parts: SectionParts): InputError[] {
  return [...parts.entries.values()].flatMap((entries) => {
    const seen = new Set<string>();
    return entries.flatMap(({ key, offset, text }) => {
      if (!seen.has(key)) {
        seen.add(key);
        return [];
      }
      return [{
        kind: InputErrorKind.Duplicate,
        message: `The section contains ${formatQuoted(key)} more than once`,
        remedy: "Keep only one.",
        place: source.findPlace(offset + Math.max(0, text.indexOf('"'))),
      }];
    });
  });
}

/**
 * Returns edits that produce the new text from the old one; undefined if none
 * can.
 */
function findEdits(
  before: SectionState | undefined,
  after: SectionState,
  entries: readonly EntryChange[],
): readonly EntryEdit[] | undefined {
  if (before === undefined || before.skeleton !== after.skeleton) {
    return undefined;
  }
  const edits = entries.map(createEntryEdit);
  const result = changeSection(before, edits);
  return isSameText(result, after) ? edits : undefined;
}

function createEntryEdit({ container, key, text }: EntryChange): EntryEdit {
  return text === undefined ? { container, key } : { container, key, text };
}

function computeValuesChange(
  before: SectionState | undefined,
  input: ChangeInput,
  values: readonly ValueEdit[],
): Either<readonly InputError[], SectionChange> {
  const errors = values.flatMap((value) => listValueErrors(input, value));
  if (errors.length > 0) return Left(errors);
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
  const change = { section, entries, source, removedRanges: [] };
  const isSameSkeleton = before?.skeleton === section.skeleton;
  return Right(isSameSkeleton ? { ...change, edits } : change);
}

function listValueErrors(input: ChangeInput, edit: ValueEdit): InputError[] {
  if (edit.value === undefined) return [];
  const name = `${input.section}/${edit.container}/${edit.key}`;
  const source = new SourceText(name, edit.value);
  const end = parseMembers(edit.value, 0).chain((object) => {
    const extra = checkEnd(edit.value ?? "", object.end + 1);
    return extra === undefined ? Right(object) : Left(extra);
  });
  if (end.isLeft()) {
    return [createSyntaxError(source, end.swap().unsafeCoerce())];
  }
  if (edit.value.length <= MAX_PART_LENGTH) return [];
  return [{
    kind: InputErrorKind.OutOfRange,
    message: `The entry ${formatQuoted(edit.key)} is too long`,
    remedy: `Use at most ${MAX_PART_LENGTH} characters.`,
    place: source.findPlace(0),
  }];
}

/**
 * Returns the section with an empty container added for each that the edits
 * need.
 */
function addContainers(
  section: SectionState,
  values: readonly ValueEdit[],
): SectionState {
  let { skeleton } = section;
  const containers = new Map(section.containers);
  for (const { container } of values) {
    if (containers.has(container)) continue;
    const insertOffset = skeleton.indexOf("{", findRootOffset(skeleton)) + 1;
    skeleton = `${skeleton.slice(0, insertOffset)}\n  "${container}": {},${
      skeleton.slice(insertOffset)
    }`;
    containers.set(container, []);
  }
  return { ...section, skeleton, containers };
}

function findRootOffset(skeleton: string): number {
  return parseMembers(skeleton, 0).map((object) => object.start - 1)
    .orDefault(0);
}
