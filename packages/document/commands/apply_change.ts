/** Applies a change of one section to the index. */
import { type Either, Right } from "purify-ts";
import type { InputError, TeamId } from "../../core/mod.ts";
import { FLEET_SECTION, type FleetIndex } from "../fleet_index.ts";
import type { SectionState } from "../section_state.ts";
import type { RemovedRange } from "../text/section_parts.ts";
import { SourceText } from "../text/source_text.ts";
import { applyEntries } from "./apply_entries.ts";
import { applySectionSettings } from "./apply_section_settings.ts";
import type { EntryChange } from "./parse_change.ts";

/** A section after a change, with its changed entries. */
export interface AppliedChange {
  readonly section: SectionState;
  readonly entries: readonly EntryChange[];
  /** Text in which the positions of errors are reported. */
  readonly source: SourceText;
  readonly removedRanges: readonly RemovedRange[];
}

/**
 * Returns the index after applying a section's skeleton and changed entries, or
 * the errors of the skeleton, or else of the entries.
 */
export function applyChange(
  index: FleetIndex,
  section: TeamId,
  change: AppliedChange,
): Either<readonly InputError[], FleetIndex> {
  const { source, removedRanges } = change;
  const { skeleton } = change.section;
  const withSettings = section === FLEET_SECTION
    ? Right(index)
    : applySectionSettings(index, {
      section,
      skeleton,
      removedRanges,
      source,
      offset: 0,
    });
  return withSettings.chain((next) => applyEntries(next, change.entries));
}
