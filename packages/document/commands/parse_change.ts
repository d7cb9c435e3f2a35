/** Parses a changed entry independently of the rest of the document. */
import {
  type InputError,
  InputErrorKind,
  type TeamId,
} from "../../core/mod.ts";
import { findEntry, type FleetIndex, formatEntryName } from "../fleet_index.ts";
import { InputErrorList } from "../schema/object_reader.ts";
import {
  computeEntryOffset,
  type EntryConfig,
  parseEntry,
} from "../schema/parse_entry.ts";
import type { Reference } from "../schema/reference.ts";
import { copyString } from "../schema/share_values.ts";
import { Container } from "../text/section_parts.ts";
import type { SourceText } from "../text/source_text.ts";

/** An entry that was added, changed or removed. */
export interface EntryChange {
  readonly section: TeamId;
  readonly container: Container;
  readonly key: string;
  /** Text of the entry; absent when it is removed. */
  readonly text?: string;
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  /** Offset of the entry in the source. */
  readonly offset: number;
}

/** A parsed change, with the configuration of the entry before and after it. */
export interface ParsedChange {
  readonly change: EntryChange;
  /** Qualified name of the entry, such as `events/march-close`. */
  readonly name: string;
  readonly before: EntryConfig | undefined;
  readonly after: EntryConfig | undefined;
  readonly references: readonly Reference[];
}

/**
 * Parses a change and appends its errors to the list; undefined when it cannot
 * be parsed.
 */
export function parseChange(
  index: FleetIndex,
  change: EntryChange,
  errors: InputError[],
): ParsedChange | undefined {
  // The key may be a substring of a whole document; a copy lets that text be freed.
  const name = copyString(formatEntryName(change.container, change.key));
  const before = findEntry(index, change.container, change.key);
  if (change.text === undefined) {
    return { change, name, before, after: undefined, references: [] };
  }
  const entryErrors = new InputErrorList(
    change.source,
    (offset) => change.offset + computeEntryOffset(offset),
  );
  const parsed = parseEntry(change.text, {
    container: change.container,
    path: `${change.section}.${change.container}`,
    key: change.key,
    team: change.section,
    errors: entryErrors,
  });
  errors.push(...entryErrors.list());
  if (parsed === undefined) return undefined;
  const { entry, references } = parsed;
  return { change, name, before, after: entry, references };
}

/**
 * Returns an error of a change with its position; offset 0 stands for the
 * entry's key.
 */
export function createChangeError(
  change: EntryChange,
  offset: number,
  details: {
    readonly kind: InputErrorKind;
    readonly message: string;
    readonly remedy: string;
  },
): InputError {
  const leading = offset === 0 ? findKeyOffset(change.text ?? "") : offset;
  const place = change.source.findPlace(change.offset + leading);
  return { ...details, place };
}

function findKeyOffset(text: string): number {
  return Math.max(0, text.indexOf('"'));
}
