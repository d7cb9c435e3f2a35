/** Parses changed entries, each by itself. */
import {
  type InputError,
  InputErrorKind,
  type TeamId,
} from "../../core/mod.ts";
import { findEntry, type FleetIndex, formatEntryName } from "../fleet_index.ts";
import { FaultList } from "../schema/node_reader.ts";
import {
  computeEntryOffset,
  type EntryConfig,
  parseEntry,
} from "../schema/parse_entry.ts";
import type { Reference } from "../schema/reference.ts";
import { copyText } from "../schema/share_values.ts";
import { Container } from "../text/section_parts.ts";
import type { SourceText } from "../text/source_text.ts";

/** One entry that is new, changed or removed. */
export interface EntryChange {
  readonly section: TeamId;
  readonly container: Container;
  readonly key: string;
  /** Text of the entry; absent when it is removed. */
  readonly text?: string;
  /** Text for places, and the entry's offset in it. */
  readonly source: SourceText;
  readonly offset: number;
}

/** A change that was parsed, with what it replaces. */
export interface ParsedChange {
  readonly change: EntryChange;
  readonly name: string;
  readonly before: EntryConfig | undefined;
  readonly after: EntryConfig | undefined;
  readonly references: readonly Reference[];
}

/** Parses a change; its faults are added to the list. */
export function parseChange(
  index: FleetIndex,
  change: EntryChange,
  faults: InputError[],
): ParsedChange | undefined {
  // A key may be cut out of a whole document, which a copy does not keep.
  const name = copyText(formatEntryName(change.container, change.key));
  const before = findEntry(index, change.container, change.key);
  if (change.text === undefined) {
    return { change, name, before, after: undefined, references: [] };
  }
  const list = new FaultList(
    change.source,
    (offset) => change.offset + computeEntryOffset(offset),
  );
  const parsed = parseEntry(change.text, {
    container: change.container,
    path: `${change.section}.${change.container}`,
    key: change.key,
    team: change.section,
    faults: list,
  });
  faults.push(...list.list());
  if (parsed === undefined) return undefined;
  const { entry, references } = parsed;
  return { change, name, before, after: entry, references };
}

/** Returns a fault of a change with its place; offset 0 is the entry's key. */
export function createFault(
  change: EntryChange,
  offset: number,
  words: {
    readonly kind: InputErrorKind;
    readonly message: string;
    readonly remedy: string;
  },
): InputError {
  const leading = offset === 0 ? findKeyOffset(change.text ?? "") : offset;
  const place = change.source.findPlace(change.offset + leading);
  return { ...words, place };
}

function findKeyOffset(text: string): number {
  return Math.max(0, text.indexOf('"'));
}
