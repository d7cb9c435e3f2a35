/**
 * Splits the text of a section into entries and a skeleton, and joins them
 * again into exactly the same text.
 *
 * The skeleton is the section's text without the entries of its containers: a
 * small text that is a valid object by itself. An entry is the text of one
 * member, including the comments before it, its comma and a comment after that
 * on the same line.
 */
import { type Either, Right } from "purify-ts";
import { type ObjectMembers, parseMembers, type ScanError } from "./members.ts";

/** Keys of a section whose objects consist of entries. */
export enum Container {
  Events = "events",
  Customers = "customers",
  Services = "services",
  Teams = "teams",
}

/** One entry of a container. */
export interface Entry {
  readonly key: string;
  /** Text of the member with its comments and comma. */
  readonly text: string;
}

/** One entry with its offset in the section's text. */
export interface PlacedEntry extends Entry {
  readonly offset: number;
}

/** A range of the section's text that the skeleton does not contain. */
export interface RemovedRange {
  /** Offset in the skeleton at which the range was removed. */
  readonly offset: number;
  readonly length: number;
}

/** The text of a section, split into skeleton and entries. */
export interface SectionParts {
  readonly skeleton: string;
  readonly removedRanges: readonly RemovedRange[];
  readonly entries: ReadonlyMap<Container, readonly PlacedEntry[]>;
}

const CONTAINERS: ReadonlySet<string> = new Set(Object.values(Container));

/** Splits a section's text into skeleton and entries. */
export function parseSectionParts(
  text: string,
): Either<ScanError, SectionParts> {
  return parseMembers(text, 0).chain((root) => extractContainers(text, root));
}

/** Returns the section's text; the inverse of {@link parseSectionParts}. */
export function formatSectionParts(
  skeleton: string,
  readEntries: (container: Container) => Iterable<Entry>,
): Either<ScanError, string> {
  return parseMembers(skeleton, 0).map((root) => {
    const pieces: string[] = [];
    let from = 0;
    for (const { key, valueOffset } of root.members) {
      if (!isContainer(key)) continue;
      pieces.push(skeleton.slice(from, valueOffset + 1));
      for (const entry of readEntries(key)) pieces.push(entry.text);
      from = valueOffset + 1;
    }
    pieces.push(skeleton.slice(from));
    return pieces.join("");
  });
}

/** Converts an offset in the skeleton to an offset in the section's text. */
export function computeSectionOffset(
  removedRanges: readonly RemovedRange[],
  skeletonOffset: number,
): number {
  return removedRanges
    .filter((range) => range.offset < skeletonOffset)
    .reduce((offset, range) => offset + range.length, skeletonOffset);
}

/** Returns whether a key of a section is the name of a container. */
export function isContainer(key: string): key is Container {
  return CONTAINERS.has(key);
}

function extractContainers(
  text: string,
  root: ObjectMembers,
): Either<ScanError, SectionParts> {
  const skeletonPieces: string[] = [];
  const removedRanges: RemovedRange[] = [];
  const entries = new Map<Container, readonly PlacedEntry[]>();
  let from = 0;
  let skeletonLength = 0;
  for (const { key, valueOffset } of root.members) {
    // A non-object or duplicate container stays in the skeleton, whose
    // validation reports the error.
    if (!isContainer(key) || text[valueOffset] !== "{") continue;
    if (entries.has(key)) continue;
    const inner = parseMembers(text, valueOffset);
    if (inner.isLeft()) return inner as unknown as Either<ScanError, never>;
    const object = inner.unsafeCoerce();
    const placed = listEntries(text, object);
    const end = object.members.at(-1)?.end ?? object.start;
    skeletonPieces.push(text.slice(from, object.start));
    skeletonLength += object.start - from;
    removedRanges.push({ offset: skeletonLength, length: end - object.start });
    entries.set(key, placed);
    from = end;
  }
  skeletonPieces.push(text.slice(from));
  return Right({ skeleton: skeletonPieces.join(""), removedRanges, entries });
}

function listEntries(text: string, object: ObjectMembers): PlacedEntry[] {
  let from = object.start;
  return object.members.map((member) => {
    const offset = from;
    from = member.end;
    return { key: member.key, text: text.slice(offset, member.end), offset };
  });
}
