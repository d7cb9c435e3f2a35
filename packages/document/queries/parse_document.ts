/** Parses and validates a complete document from one text. */
import { type Either, Left, Right } from "purify-ts";
import {
  type FleetConfiguration,
  type InputError,
  InputErrorKind,
  type TeamId,
} from "../../core/mod.ts";
import { applyEntries } from "../commands/apply_entries.ts";
import {
  applySectionSettings,
  type SkeletonChange,
} from "../commands/apply_section_settings.ts";
import type { EntryChange } from "../commands/parse_change.ts";
import {
  computeConfiguration,
  createFleetIndex,
  FLEET_SECTION,
  type FleetIndex,
} from "../fleet_index.ts";
import { describeNearest, formatQuoted } from "../schema/object_reader.ts";
import {
  checkEnd,
  type Member,
  parseMembers,
  type ScanError,
} from "../text/members.ts";
import { parseSectionParts } from "../text/section_parts.ts";
import { SourceText } from "../text/source_text.ts";

/**
 * Version of a configuration that is parsed from a text instead of the store.
 */
const TEXT_VERSION = 1;

const ROOT_KEYS = ["teams", "sections"];

/** One section within the text of a whole document. */
export interface SectionInput {
  readonly section: TeamId;
  readonly text: string;
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  /** Offset of the section in the source. */
  readonly offset: number;
}

/**
 * Parses and validates a complete document; error positions include the source's
 * name.
 */
export function parseDocument(
  text: string,
  source: string,
): Either<readonly InputError[], FleetConfiguration> {
  return parseDocumentSections(text, source)
    .chain(parseSections)
    .map((index) => computeConfiguration(index, TEXT_VERSION));
}

/** Splits a complete document into the texts of its sections. */
export function parseDocumentSections(
  text: string,
  name: string,
): Either<readonly InputError[], readonly SectionInput[]> {
  const source = new SourceText(name, text);
  const root = parseMembers(text, 0);
  return root
    .mapLeft((error) => [createSyntaxError(source, error)])
    .chain(({ members, end }) => {
      const extra = checkEnd(text, end + 1);
      if (extra !== undefined) return Left([createSyntaxError(source, extra)]);
      const errors = listRootErrors(source, members);
      if (errors.length > 0) return Left(errors);
      return splitRoot(source, members);
    });
}

/** Parses sections together and checks the references among them. */
export function parseSections(
  sections: readonly SectionInput[],
): Either<readonly InputError[], FleetIndex> {
  const errors: InputError[] = [];
  const entries: EntryChange[] = [];
  const skeletons: SkeletonChange[] = [];
  for (const input of sections) {
    collectSection(input, { errors, entries, skeletons });
  }
  let index = createFleetIndex();
  for (const skeleton of skeletons) {
    if (skeleton.section === FLEET_SECTION) continue;
    applySectionSettings(index, skeleton).caseOf({
      Left: (found) => void errors.push(...found),
      Right: (next) => void (index = next),
    });
  }
  if (errors.length > 0) return Left(errors);
  return applyEntries(index, entries).chain((next) => {
    const unowned = listUnownedSections(next, sections);
    return unowned.length > 0 ? Left(unowned) : Right(next);
  });
}

/** Converts a scan error of a text into an input error. */
export function createSyntaxError(
  source: SourceText,
  error: ScanError,
  offset = 0,
): InputError {
  return {
    kind: InputErrorKind.Syntax,
    message: `The text cannot be parsed: ${error.message}`,
    remedy: "Correct the text here; comments and trailing commas are allowed.",
    place: source.findPlace(offset + error.offset),
  };
}

function listRootErrors(
  source: SourceText,
  members: readonly Member[],
): InputError[] {
  const seen = new Set<string>();
  return members.flatMap(({ key, keyOffset }): InputError[] => {
    const place = source.findPlace(keyOffset);
    const isDuplicate = seen.has(key);
    seen.add(key);
    if (isDuplicate) {
      return [{
        kind: InputErrorKind.Duplicate,
        message: `The document has the key ${formatQuoted(key)} more than once`,
        remedy: "Keep only one.",
        place,
      }];
    }
    if (ROOT_KEYS.includes(key)) return [];
    return [{
      kind: InputErrorKind.UnknownKey,
      message: `The document has an unknown key ${formatQuoted(key)}`,
      remedy: describeNearest(key, ROOT_KEYS),
      place,
    }];
  });
}

function splitRoot(
  source: SourceText,
  members: readonly Member[],
): Either<readonly InputError[], readonly SectionInput[]> {
  const { text } = source;
  const teams = members.find((member) => member.key === "teams");
  const sections = members.find((member) => member.key === "sections");
  const fleet = teams === undefined ? [] : [createFleetInput(source, teams)];
  if (sections === undefined) return Right(fleet);
  return parseMembers(text, sections.valueOffset)
    .mapLeft((error) => [createSyntaxError(source, error)])
    .map((object) => [
      ...fleet,
      ...object.members.map((member) => ({
        section: member.key,
        text: text.slice(member.valueOffset, member.valueEnd),
        source,
        offset: member.valueOffset,
      })),
    ]);
}

/**
 * Wraps the teams into a section of their own, whose offsets still match the
 * source.
 */
function createFleetInput(source: SourceText, teams: Member): SectionInput {
  const head = '{"teams":';
  const value = source.text.slice(teams.valueOffset, teams.valueEnd);
  return {
    section: FLEET_SECTION,
    text: `${head}${value}}`,
    source,
    offset: teams.valueOffset - head.length,
  };
}

function collectSection(
  input: SectionInput,
  found: {
    readonly errors: InputError[];
    readonly entries: EntryChange[];
    readonly skeletons: SkeletonChange[];
  },
): void {
  const { section, source, offset } = input;
  parseSectionParts(input.text).caseOf({
    Left: (error) =>
      void found.errors.push(createSyntaxError(source, error, offset)),
    Right: ({ skeleton, removedRanges, entries }) => {
      found.skeletons.push({
        section,
        skeleton,
        removedRanges,
        source,
        offset,
      });
      for (const [container, placed] of entries) {
        for (const entry of placed) {
          found.entries.push({
            section,
            container,
            key: entry.key,
            text: entry.text,
            source,
            offset: offset + entry.offset,
          });
        }
      }
    },
  });
}

/** Returns an error for each section whose team is not in the document. */
function listUnownedSections(
  index: FleetIndex,
  sections: readonly SectionInput[],
): InputError[] {
  return sections
    .filter(({ section }) => section !== FLEET_SECTION)
    .filter(({ section }) => !index.teams.has(section))
    .map(({ section, source, offset }) => ({
      kind: InputErrorKind.UnknownReference,
      message: `The section ${formatQuoted(section)} belongs to no team`,
      remedy: describeNearest(section, [...index.teams.keys()]),
      place: source.findPlace(offset),
    }));
}
