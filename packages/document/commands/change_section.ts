/** Changes entries of a section's text and leaves all other text unchanged. */
import {
  type Chunk,
  createChunks,
  isChunkEnd,
  type SectionState,
} from "../section_state.ts";
import { type Member, parseMembers } from "../text/members.ts";
import type { Container, Entry } from "../text/section_parts.ts";

/**
 * Replaces the text of an entry, including its comments, or removes the entry.
 */
export interface EntryEdit {
  readonly container: Container;
  readonly key: string;
  /** New text of the entry; absent to remove it. */
  readonly text?: string;
}

/** Sets or removes the value of an entry, as requested by an operator. */
export interface ValueEdit {
  readonly container: Container;
  readonly key: string;
  /** Text of the value, such as `{ "keyHashes": [] }`; absent to remove it. */
  readonly value?: string;
}

const NEW_ENTRY_INDENT = "\n    ";

/** Returns the section after the edits; the caller sets its new version. */
export function changeSection(
  section: SectionState,
  edits: readonly EntryEdit[],
): SectionState {
  const containers = new Map(section.containers);
  for (const edit of edits) {
    const chunks = containers.get(edit.container) ?? [];
    containers.set(edit.container, changeChunks(chunks, edit));
  }
  return { ...section, containers };
}

/**
 * Converts edits of values to edits of entries' texts. The comments around a
 * replaced value are kept. A new entry is appended, and the entry before it
 * gets a comma if it has none.
 */
export function planEntryEdits(
  section: SectionState,
  edits: readonly ValueEdit[],
): EntryEdit[] {
  let current = section;
  const planned: EntryEdit[] = [];
  for (const edit of edits) {
    const steps = planEntryEdit(current, edit);
    current = changeSection(current, steps);
    planned.push(...steps);
  }
  return planned;
}

function planEntryEdit(section: SectionState, edit: ValueEdit): EntryEdit[] {
  const { container, key, value } = edit;
  if (value === undefined) return [{ container, key }];
  const chunks = section.containers.get(container) ?? [];
  const known = chunks.find((chunk) => chunk.keys.has(key))
    ?.readEntries().find((entry) => entry.key === key);
  if (known !== undefined) {
    return [{ container, key, text: replaceValue(known, value) }];
  }
  const text = `${NEW_ENTRY_INDENT}${JSON.stringify(key)}: ${value},`;
  const last = chunks.at(-1)?.readEntries().at(-1);
  const comma = last === undefined ? undefined : addComma(last);
  return comma === undefined
    ? [{ container, key, text }]
    : [{ container, ...comma }, { container, key, text }];
}

function replaceValue(entry: Entry, value: string): string {
  const member = findMember(entry);
  if (member === undefined) return `${JSON.stringify(entry.key)}: ${value},`;
  const { valueOffset, valueEnd } = member;
  return entry.text.slice(0, valueOffset) + value + entry.text.slice(valueEnd);
}

/**
 * Returns the entry with a comma added; undefined when it has one or cannot be
 * parsed.
 */
function addComma(entry: Entry): Entry | undefined {
  const member = findMember(entry);
  if (member === undefined || member.hasComma) return undefined;
  const { text } = entry;
  const end = member.valueEnd;
  return { key: entry.key, text: `${text.slice(0, end)},${text.slice(end)}` };
}

/** Parses an entry as an object member, with offsets into the entry's text. */
function findMember({ text }: Entry): Member | undefined {
  const member = parseMembers(`{${text}}`, 0).map(({ members }) => members[0])
    .orDefault(undefined);
  return member && {
    ...member,
    keyOffset: member.keyOffset - 1,
    valueOffset: member.valueOffset - 1,
    valueEnd: member.valueEnd - 1,
    end: member.end - 1,
  };
}

function changeChunks(
  chunks: readonly Chunk[],
  edit: EntryEdit,
): readonly Chunk[] {
  const found = chunks.findIndex((chunk) => chunk.keys.has(edit.key));
  if (found < 0 && edit.text === undefined) return chunks;
  const from = found < 0 ? Math.max(0, chunks.length - 1) : found;
  const entries = changeEntries(chunks[from]?.readEntries() ?? [], edit);
  let to = from + 1;
  // If the chunk's last entry no longer ends a chunk, merge the following ones.
  while (to < chunks.length && !endsChunk(entries)) {
    entries.push(...chunks[to]!.readEntries());
    to++;
  }
  return [
    ...chunks.slice(0, from),
    ...createChunks(entries),
    ...chunks.slice(to),
  ];
}

function endsChunk(entries: readonly Entry[]): boolean {
  const last = entries.at(-1);
  return last === undefined || isChunkEnd(last);
}

function changeEntries(entries: readonly Entry[], edit: EntryEdit): Entry[] {
  const { key, text } = edit;
  if (text === undefined) return entries.filter((each) => each.key !== key);
  if (!entries.some((each) => each.key === key)) {
    return [...entries, { key, text }];
  }
  return entries.map((each) => each.key === key ? { key, text } : each);
}
