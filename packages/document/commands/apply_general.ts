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
import { FaultList, ObjectReader } from "../schema/node_reader.ts";
import { parseObject } from "../schema/parse_entry.ts";
import { readGeneral, type SectionGeneral } from "../schema/read_general.ts";
import { computeWholeOffset, type Cut } from "../text/section_parts.ts";
import type { SourceText } from "../text/source_text.ts";

/** The new skeleton of a section. */
export interface SkeletonChange {
  readonly section: TeamId;
  readonly skeleton: string;
  readonly cuts: readonly Cut[];
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  /** Offset of the section in the source. */
  readonly offset: number;
}

/**
 * Returns the index after applying a section's skeleton, or the skeleton's
 * errors.
 */
export function applyGeneral(
  index: FleetIndex,
  change: SkeletonChange,
): Either<readonly InputError[], FleetIndex> {
  const faults = new FaultList(
    change.source,
    (offset) => change.offset + computeWholeOffset(change.cuts, offset),
  );
  const path = change.section;
  const root = parseObject(change.skeleton, { path, faults });
  if (root === undefined) return Left(listFaults(faults, change));
  const reader = new ObjectReader(root, path, faults);
  const general = readGeneral(reader, faults);
  checkOthers(index, change.section, { general, reader, faults });
  if (faults.list().length > 0) return Left(faults.list());
  return Right({ ...index, general: index.general.add(path, general) });
}

function listFaults(
  faults: FaultList,
  change: SkeletonChange,
): readonly InputError[] {
  if (faults.list().length === 0) {
    faults.add(InputErrorKind.WrongType, 0, {
      message: `${change.section} is not an object`,
      remedy: "Write an object in braces.",
    });
  }
  return faults.list();
}

/**
 * Adds an error for each link or message that is defined more than once in the
 * document.
 */
function checkOthers(
  index: FleetIndex,
  section: TeamId,
  input: {
    readonly general: SectionGeneral;
    readonly reader: ObjectReader;
    readonly faults: FaultList;
  },
): void {
  const names = listNames(input.general);
  const others = [...index.general]
    .filter(([id]) => id !== section)
    .flatMap(([id, general]) =>
      listNames(general).map((name) => [name, id] as const)
    );
  const taken = new Map(others);
  for (const [position, name] of names.entries()) {
    const twice = names.indexOf(name) !== position;
    const owner = twice ? section : taken.get(name);
    if (owner === undefined) continue;
    const part = name.startsWith("link") ? "links" : "messages";
    const offset = input.reader.findNode(part)?.offset ?? 0;
    input.faults.add(InputErrorKind.Duplicate, offset, {
      message: `${name} is already defined in section ${owner}`,
      remedy: "Keep only one of the two.",
    });
  }
}

function listNames(general: SectionGeneral): string[] {
  const links = general.links.map(({ from, to }) =>
    `link ${[from, to].sort().join(" to ")}`
  );
  return [...links, ...[...general.messages.keys()].map((k) => `message ${k}`)];
}
