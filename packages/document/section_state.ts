/**
 * The text of one section, kept so that a change moves only what it changes.
 *
 * Entries lie in chunks. Where a chunk ends depends on the entry at its end
 * alone, so the chunks of a list of entries are the same on every VM, whatever
 * changes led to it, and a change of one entry touches one or two chunks. A
 * chunk's id is a digest of its content: a chunk row is written once, never
 * changed, and shared by all versions that have it.
 */
import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Either } from "purify-ts";
import { computeHash } from "../core/mod.ts";
import { copyText } from "./schema/share_values.ts";
import type { ScanFault } from "./text/members.ts";
import {
  type Container,
  type Entry,
  formatSectionParts,
  type SectionParts,
} from "./text/section_parts.ts";

/**
 * Some entries of a container that stand side by side. Their text is needed
 * only when they change or are shown, so it is kept compressed.
 */
export class Chunk {
  /** Digest of the entries, in hexadecimal. */
  readonly id: string;
  readonly keys: ReadonlySet<string>;
  readonly #packed: Uint8Array;

  constructor(entries: readonly Entry[]) {
    const content = JSON.stringify(
      entries.map(({ key, text }) => [key, text]),
    );
    const digest = createHash("sha256").update(content).digest("hex");
    this.id = digest.slice(0, ID_LENGTH);
    this.keys = new Set(entries.map((entry) => copyText(entry.key)));
    this.#packed = deflateRawSync(content, { level: FASTEST_LEVEL });
  }

  /** Returns the entries in the text's order. */
  readEntries(): readonly Entry[] {
    const content = inflateRawSync(this.#packed).toString();
    const pairs = JSON.parse(content) as readonly (readonly [string, string])[];
    return pairs.map(([key, text]) => ({ key, text }));
  }
}

/** The text of one section at one of its versions. */
export interface SectionState {
  /** Rises by one with each change of this section. */
  readonly version: number;
  readonly skeleton: string;
  readonly containers: ReadonlyMap<Container, readonly Chunk[]>;
}

/** Usual length of a chunk's entries, in characters. */
export const USUAL_CHUNK_LENGTH = 16_384;

const ID_LENGTH = 32;

/** Compression level that takes the least time. */
const FASTEST_LEVEL = 1;

/** Returns a section with the given text in parts. */
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

/** Returns a section without entries. */
export function createEmptySection(): SectionState {
  return { version: 0, skeleton: "{\n}\n", containers: new Map() };
}

/** Returns the section's text. */
export function formatSection(
  section: SectionState,
): Either<ScanFault, string> {
  return formatSectionParts(
    section.skeleton,
    (container) => listEntries(section, container),
  );
}

/** Returns the entries of a container in the text's order. */
export function listEntries(
  section: SectionState,
  container: Container,
): readonly Entry[] {
  const chunks = section.containers.get(container) ?? [];
  return chunks.flatMap((chunk) => chunk.readEntries());
}

/** Returns the chunks of a list of entries. */
export function createChunks(entries: readonly Entry[]): Chunk[] {
  const chunks: Chunk[] = [];
  let open: Entry[] = [];
  for (const entry of entries) {
    open.push(entry);
    if (!isChunkEnd(entry)) continue;
    chunks.push(new Chunk(open));
    open = [];
  }
  if (open.length > 0) chunks.push(new Chunk(open));
  return chunks;
}

/** Returns the ids of the chunks that a section has and an earlier one had not. */
export function listNewChunkIds(
  before: SectionState | undefined,
  after: SectionState,
): string[] {
  return listNewChunks(before, after).map((chunk) => chunk.id);
}

/** Returns the chunks that a section has and an earlier one had not. */
export function listNewChunks(
  before: SectionState | undefined,
  after: SectionState,
): Chunk[] {
  return [...after.containers].flatMap(([container, chunks]) =>
    listChangedChunks(chunks, before?.containers.get(container) ?? [])
  );
}

/** Says whether two sections have the same text. */
export function isSameText(left: SectionState, right: SectionState): boolean {
  if (left.skeleton !== right.skeleton) return false;
  return listNewChunks(left, right).length === 0 &&
    listNewChunks(right, left).length === 0;
}

/** Returns the chunks of a list that lie between what two lists share. */
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

/** Says whether a chunk ends after an entry; long entries end more often. */
export function isChunkEnd(entry: Entry): boolean {
  return computeHash(entry.key) % USUAL_CHUNK_LENGTH < entry.text.length;
}

/** Returns the entry of a container with a key. */
export function findSectionEntry(
  section: SectionState,
  container: Container,
  key: string,
): Entry | undefined {
  const chunk = section.containers.get(container)
    ?.find((each) => each.keys.has(key));
  return chunk?.readEntries().find((entry) => entry.key === key);
}
