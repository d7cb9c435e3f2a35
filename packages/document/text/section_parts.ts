/**
 * Cuts the text of a section into its entries and the skeleton around them, and
 * puts it together again to the byte.
 *
 * The skeleton is the section with every entry of `events`, `customers` and
 * `services` taken out: a small text that is valid by itself. An entry is the
 * text of one member with the comments before it, its comma and a comment after
 * that.
 */
import { type Either, Right } from "purify-ts";
import { type ObjectMembers, parseMembers, type ScanFault } from "./members.ts";

/** Objects whose members are kept as entries. */
export enum Container {
  Events = "events",
  Customers = "customers",
  Services = "services",
  Teams = "teams",
}

/** One entry. */
export interface Entry {
  readonly key: string;
  readonly text: string;
}

/** One entry with its offset in the section's text. */
export interface PlacedEntry extends Entry {
  readonly offset: number;
}

/** A stretch of text that was taken out of the skeleton. */
export interface Cut {
  /** Offset in the skeleton at which it was taken out. */
  readonly at: number;
  readonly length: number;
}

/** A section in parts. */
export interface SectionParts {
  readonly skeleton: string;
  readonly cuts: readonly Cut[];
  readonly entries: ReadonlyMap<Container, readonly PlacedEntry[]>;
}

const CONTAINERS: ReadonlySet<string> = new Set(Object.values(Container));

/** Cuts a section's text into parts. */
export function parseSectionParts(
  text: string,
): Either<ScanFault, SectionParts> {
  return parseMembers(text, 0).chain((root) => cutContainers(text, root));
}

/** Returns the section's text; the inverse of {@link parseSectionParts}. */
export function formatSectionParts(
  skeleton: string,
  readEntries: (container: Container) => Iterable<Entry>,
): Either<ScanFault, string> {
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

/** Returns the offset in the whole text of an offset in the skeleton. */
export function computeWholeOffset(
  cuts: readonly Cut[],
  skeletonOffset: number,
): number {
  return cuts
    .filter((cut) => cut.at < skeletonOffset)
    .reduce((offset, cut) => offset + cut.length, skeletonOffset);
}

/** Returns whether a key of a section names a container. */
export function isContainer(key: string): key is Container {
  return CONTAINERS.has(key);
}

function cutContainers(
  text: string,
  root: ObjectMembers,
): Either<ScanFault, SectionParts> {
  const kept: string[] = [];
  const cuts: Cut[] = [];
  const entries = new Map<Container, readonly PlacedEntry[]>();
  let from = 0;
  let length = 0;
  for (const { key, valueOffset } of root.members) {
    // A container that is no object, or stands twice, is left for the checks.
    if (!isContainer(key) || text[valueOffset] !== "{") continue;
    if (entries.has(key)) continue;
    const inner = parseMembers(text, valueOffset);
    if (inner.isLeft()) return inner as unknown as Either<ScanFault, never>;
    const object = inner.unsafeCoerce();
    const placed = listEntries(text, object);
    const end = object.members.at(-1)?.end ?? object.start;
    kept.push(text.slice(from, object.start));
    length += object.start - from;
    cuts.push({ at: length, length: end - object.start });
    entries.set(key, placed);
    from = end;
  }
  kept.push(text.slice(from));
  return Right({ skeleton: kept.join(""), cuts, entries });
}

function listEntries(text: string, object: ObjectMembers): PlacedEntry[] {
  let from = object.start;
  return object.members.map((member) => {
    const offset = from;
    from = member.end;
    return { key: member.key, text: text.slice(offset, member.end), offset };
  });
}
