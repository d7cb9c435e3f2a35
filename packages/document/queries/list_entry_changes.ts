/** Finds the entries in which two versions of a section differ. */
import type { TeamId } from "../../core/mod.ts";
import type { EntryChange } from "../commands/parse_change.ts";
import {
  findSectionEntry,
  listChangedChunks,
  type SectionState,
} from "../section_state.ts";
import { Container } from "../text/section_parts.ts";
import { SourceText } from "../text/source_text.ts";

/**
 * Returns the entries that were added, changed or removed between two versions
 * of a section.
 */
export function listEntryChanges(
  section: TeamId,
  input: {
    readonly before: SectionState | undefined;
    readonly after: SectionState;
    /**
     * Text in which the positions of errors are reported when offsets are given;
     * otherwise they refer to the text of each entry.
     */
    readonly source: SourceText;
    /** Offset in the source of each entry, by its qualified name. */
    readonly offsets?: ReadonlyMap<string, number>;
  },
): EntryChange[] {
  const changes: EntryChange[] = [];
  for (const container of Object.values(Container)) {
    const before = listChangedEntries(input.before, input.after, container);
    const after = listChangedEntries(input.after, input.before, container);
    for (const [key, text] of after) {
      if (before.get(key) === text) continue;
      const offset = input.offsets?.get(`${container}/${key}`) ?? 0;
      const source = input.offsets === undefined
        ? new SourceText(`${section}/${container}/${key}`, text)
        : input.source;
      changes.push({ section, container, key, text, source, offset });
    }
    for (const key of before.keys()) {
      if (after.has(key)) continue;
      if (findSectionEntry(input.after, container, key) !== undefined) continue;
      const { source } = input;
      changes.push({ section, container, key, source, offset: 0 });
    }
  }
  return changes;
}

/** Returns the entries of the chunks in which a section differs from another. */
function listChangedEntries(
  section: SectionState | undefined,
  other: SectionState | undefined,
  container: Container,
): ReadonlyMap<string, string> {
  const chunks = listChangedChunks(
    section?.containers.get(container) ?? [],
    other?.containers.get(container) ?? [],
  );
  return new Map(
    chunks.flatMap((chunk) => chunk.readEntries())
      .map(({ key, text }) => [key, text]),
  );
}
