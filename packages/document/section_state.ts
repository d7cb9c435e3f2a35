/**
 * Stores the text of one section in content-defined chunks, so that a change
 * writes only the chunks that it affects.
 *
 * Whether a chunk ends after an entry depends on that entry alone. Therefore a
 * list of entries has the same chunks on every VM, whatever sequence of changes
 * produced it, and a change of one entry affects only one or two chunks. A
 * chunk's id is a digest of its content: a chunk row is written once, never
 * modified, and shared by all section versions that contain it.
 */
import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Either } from "purify-ts";
import { computeHash } from "../core/mod.ts";
import { copyString } from "./schema/share_values.ts";
import type { ScanError } from "./text/members.ts";
import {
  type Container,
  type Entry,
  formatSectionParts,
  type SectionParts,
} from "./text/section_parts.ts";

/**
 * A run of consecutive entries of a container. The text is needed only when an
 * entry changes or is displayed, so it is kept compressed.
 */
export class Chunk {
  /** Hexadecimal SHA-256 digest of the entries, truncated. */
  readonly id: string;
  readonly keys: ReadonlySet<string>;
  readonly #compressed: Uint8Array;

  constructor(entries: readonly Entry[]) {
    const content = JSON.stringify(
      entries.map(({ key, text }) => [key, text]),
    );
    const digest = createHash("sha256").update(content).digest("hex");
    this.id = digest.slice(0, ID_LENGTH);
    this.keys = new Set(entries.map((entry) => copyString(entry.key)));
    this.#compressed = deflateRawSync(content, { level: FASTEST_LEVEL });
  }

  /** Returns the entries in the order of the section's text. */
  readEntries(): readonly Entry[] {
    const content = inflateRawSync(this.#compressed).toString();
    const pairs = JSON.parse(content) as readonly (readonly [string, string])[];
    return pairs.map(([key, text]) => ({ key, text }));
  }
}

/** The text of one section at one version. */
export interface SectionState {
  /** Rises by one with each change of this section. */
  readonly version: number;
  readonly skeleton: string;
  readonly containers: ReadonlyMap<Container, readonly Chunk[]>;
}

/** Average length of a chunk's entries, in characters. */
export const AVERAGE_CHUNK_LENGTH = 16_384;

/** Length of a chunk id, in hexadecimal digits. */
const ID_LENGTH = 32;

/** Fastest level of the deflate compression. */
const FASTEST_LEVEL = 1;

/** Returns the state of a section whose text was split into parts. */
export function createSectionState(
  parts: SectionParts,
  version: number,
): SectionState {
  const containers = new Map<Container, readonly Chunk[]>();
  for (const [container, entries] of parts.entries) {
    const plain = entries.map(({ key, text }) => ({ key, text }));
    containers.set(container, createChunks(plain));
  }
  return { version, skeleton: parts.skeleton, containers };
}

/** Returns a section without entries, at version 0. */
export function createEmptySection(): SectionState {
  return { version: 0, skeleton: "{\n}\n", containers: new Map() };
}

/** Returns the full text of a section. */
export function formatSection(
  section: SectionState,
): Either<ScanError, string> {
  return formatSectionParts(
    section.skeleton,
    (container) => listEntries(section, container),
  );
}

/** Returns the entries of a container in the order of the section's text. */
export function listEntries(
  section: SectionState,
  container: Container,
): readonly Entry[] {
  const chunks = section.containers.get(container) ?? [];
  return chunks.flatMap((chunk) => chunk.readEntries());
}

/** Splits a list of entries into chunks. */
export function createChunks(entries: readonly Entry[]): Chunk[] {
  const chunks: Chunk[] = [];
  let pending: Entry[] = [];
  for (const entry of entries) {
    pending.push(entry);
    if (!isChunkEnd(entry)) continue;
    chunks.push(new Chunk(pending));
    pending = [];
  }
  if (pending.length > 0) chunks.push(new Chunk(pending));
  return chunks;
}

/** Returns the ids of the chunks that {@link listNewChunks} returns. */
export function listNewChunkIds(
  before: SectionState | undefined,
  after: SectionState,
): string[] {
  return listNewChunks(before, after).map((chunk) => chunk.id);
}

/**
 * Returns the chunks in which a section differs from its earlier state: in each
 * container, those between the common first and the common last chunks. All
 * chunks that the earlier state does not contain are among them.
 */
export function listNewChunks(
  before: SectionState | undefined,
  after: SectionState,
): Chunk[] {
  return [...after.containers].flatMap(([container, chunks]) =>
    listChangedChunks(chunks, before?.containers.get(container) ?? [])
  );
}

/** Returns whether two sections have the same text. */
export function isSameText(left: SectionState, right: SectionState): boolean {
  if (left.skeleton !== right.skeleton) return false;
  return listNewChunks(left, right).length === 0 &&
    listNewChunks(right, left).length === 0;
}

/**
 * Returns the chunks of a list without the first and the last chunks that it has
 * in common with another list.
 */
export function listChangedChunks(
  chunks: readonly Chunk[],
  others: readonly Chunk[],
): readonly Chunk[] {
  const shorter = Math.min(chunks.length, others.length);
  let start = 0;
  while (start < shorter && chunks[start]!.id === others[start]!.id) start++;
  let end = 0;
  while (
    end < shorter - start &&
    chunks.at(-1 - end)!.id === others.at(-1 - end)!.id
  ) {
    end++;
  }
  return chunks.slice(start, chunks.length - end);
}

/**
 * Returns whether a chunk ends after an entry. The probability grows with the
 * length of the entry's text, which makes chunks similar in length.
 */
export function isChunkEnd(entry: Entry): boolean {
  return computeHash(entry.key) % AVERAGE_CHUNK_LENGTH < entry.text.length;
}

/**
 * Returns the entry with a key in a container; undefined when there is none.
 */
export function findSectionEntry(
  section: SectionState,
  container: Container,
  key: string,
): Entry | undefined {
  const chunk = section.containers.get(container)
    ?.find((each) => each.keys.has(key));
  return chunk?.readEntries().find((entry) => entry.key === key);
}
