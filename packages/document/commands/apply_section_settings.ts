/**
 * Applies the links, staleness limit and messages of a section to the index.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  type InputError,
  InputErrorKind,
  type TeamId,
} from "../../core/mod.ts";
import type { FleetIndex } from "../fleet_index.ts";
import { InputErrorList, ObjectReader } from "../schema/object_reader.ts";
import { parseObject } from "../schema/parse_entry.ts";
import {
  readSectionSettings,
  type SectionSettings,
} from "../schema/read_section_settings.ts";
import {
  computeSectionOffset,
  type RemovedRange,
} from "../text/section_parts.ts";
import type { SourceText } from "../text/source_text.ts";

/** The new skeleton of a section. */
export interface SkeletonChange {
  readonly section: TeamId;
  readonly skeleton: string;
  readonly removedRanges: readonly RemovedRange[];
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  /** Offset of the section in the source. */
  readonly offset: number;
}

/**
 * Returns the index after applying a section's skeleton, or the skeleton's
 * errors.
 */
export function applySectionSettings(
  index: FleetIndex,
  change: SkeletonChange,
): Either<readonly InputError[], FleetIndex> {
  const errors = new InputErrorList(
    change.source,
    (offset) =>
      change.offset + computeSectionOffset(change.removedRanges, offset),
  );
  const path = change.section;
  const root = parseObject(change.skeleton, { path, errors });
  if (root === undefined) return Left(listParseErrors(errors, change));
  const reader = new ObjectReader(root, path, errors);
  const settings = readSectionSettings(reader, errors);
  checkDuplicates(index, change.section, { settings, reader, errors });
  if (errors.list().length > 0) return Left(errors.list());
  return Right({ ...index, settings: index.settings.add(path, settings) });
}

function listParseErrors(
  errors: InputErrorList,
  change: SkeletonChange,
): readonly InputError[] {
  if (errors.list().length === 0) {
    errors.add(InputErrorKind.WrongType, 0, {
      message: `${change.section} is not an object`,
      remedy: "Write an object in braces.",
    });
  }
  return errors.list();
}

/**
 * Adds an error for each link or message that is defined more than once in the
 * document.
 */
function checkDuplicates(
  index: FleetIndex,
  section: TeamId,
  input: {
    readonly settings: SectionSettings;
    readonly reader: ObjectReader;
    readonly errors: InputErrorList;
  },
): void {
  const names = listSettingNames(input.settings);
  const definedElsewhere = [...index.settings]
    .filter(([id]) => id !== section)
    .flatMap(([id, settings]) =>
      listSettingNames(settings).map((name) => [name, id] as const)
    );
  const ownersByName = new Map(definedElsewhere);
  for (const [position, name] of names.entries()) {
    const isRepeated = names.indexOf(name) !== position;
    const owner = isRepeated ? section : ownersByName.get(name);
    if (owner === undefined) continue;
    const part = name.startsWith("link") ? "links" : "messages";
    const offset = input.reader.findNode(part)?.offset ?? 0;
    input.errors.add(InputErrorKind.Duplicate, offset, {
      message: `${name} is already defined in section ${owner}`,
      remedy: "Keep only one of the two.",
    });
  }
}

function listSettingNames(settings: SectionSettings): string[] {
  const links = settings.links.map(({ from, to }) =>
    `link ${[from, to].sort().join(" to ")}`
  );
  return [
    ...links,
    ...[...settings.messages.keys()].map((kind) => `message ${kind}`),
  ];
}
