/**
 * Refusals of document changes, with the details that the operator is shown.
 */
import type { InputError, TeamId } from "../../core/mod.ts";
import type { DocumentState } from "../document_state.ts";
import { formatQuoted } from "../schema/object_reader.ts";
import {
  createEmptySection,
  createSectionState,
  findSectionEntry,
  formatSection,
  listEntries,
  type SectionState,
} from "../section_state.ts";
import { Container, parseSectionParts } from "../text/section_parts.ts";
import type { ChangeInput, SectionEdit } from "./change_input.ts";

/** Reason for refusing a change. */
export enum ChangeRefusalKind {
  /** Another change of this section was committed first. */
  VersionConflict = "section-moved",
  /** The text is invalid, or would make the whole document invalid. */
  Invalid = "invalid",
  /** The section belongs to no team. */
  UnknownSection = "unknown-section",
  /** The change id was already used for another change. */
  ChangeIdReused = "change-id-reused",
}

/** An entry that differs between the current section and the submitted one. */
export interface EntryDifference {
  readonly name: string;
  readonly current?: string;
  readonly submitted?: string;
}

/** A refused change; no part of it was applied. */
export interface ChangeRefusal {
  readonly kind: ChangeRefusalKind;
  readonly message: string;
  readonly remedy: string;
  readonly errors: readonly InputError[];
  /** Current version and text of the section; given for a version conflict. */
  readonly current?: { readonly version: number; readonly text: string };
  /** Entries in which the submitted section differs from the current one. */
  readonly differences: readonly EntryDifference[];
}

/** Returns the refusal of an invalid change. */
export function createInvalidRefusal(
  errors: readonly InputError[],
): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.Invalid,
    message: `The change has ${errors.length} errors; nothing was changed.`,
    remedy: "Correct the errors and submit the change again.",
    errors,
    differences: [],
  };
}

/** Returns the refusal of a change whose id belongs to another change. */
export function createIdReusedRefusal(changeId: string): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.ChangeIdReused,
    message: `The change id ${
      formatQuoted(changeId)
    } belongs to another change.`,
    remedy: "Submit the change under a new id.",
    errors: [],
    differences: [],
  };
}

/** Returns the refusal of a change of a section that belongs to no team. */
export function createUnknownSectionRefusal(section: TeamId): ChangeRefusal {
  return {
    kind: ChangeRefusalKind.UnknownSection,
    message: `The section ${formatQuoted(section)} belongs to no team.`,
    remedy: "Add the team first, or correct the name.",
    errors: [],
    differences: [],
  };
}

/**
 * Returns the refusal of a change that is not based on the current section
 * version.
 */
export function createConflictRefusal(
  state: DocumentState,
  input: ChangeInput,
): ChangeRefusal {
  const current = state.sections.get(input.section);
  const version = current?.version ?? 0;
  const text = current === undefined
    ? ""
    : formatSection(current).orDefault("");
  return {
    kind: ChangeRefusalKind.VersionConflict,
    message:
      `The section is at version ${version}, but the change is based on version ${input.baseVersion}; nothing was changed.`,
    remedy:
      "Review the differences, redo the change on the current text and submit it with the current version.",
    errors: [],
    current: { version, text },
    differences: listDifferences(current, input.edit),
  };
}

/**
 * Returns the entries in which a submitted text differs from the current one,
 * or all submitted entries when the edit consists of values.
 */
function listDifferences(
  current: SectionState | undefined,
  edit: SectionEdit,
): EntryDifference[] {
  if (!("text" in edit)) {
    return edit.values.map(({ container, key, value }) =>
      createDifference(
        `${container}/${key}`,
        current && findSectionEntry(current, container, key)?.text,
        value,
      )
    );
  }
  const submitted = parseSectionParts(edit.text)
    .map((parts) => createSectionState(parts, 0))
    .orDefault(createEmptySection());
  return Object.values(Container).flatMap((container) => {
    const before = listTexts(current, container);
    const after = listTexts(submitted, container);
    const names = new Set([...before.keys(), ...after.keys()]);
    return [...names]
      .filter((key) => before.get(key) !== after.get(key))
      .map((key) =>
        createDifference(
          `${container}/${key}`,
          before.get(key),
          after.get(key),
        )
      );
  });
}

function listTexts(
  section: SectionState | undefined,
  container: Container,
): ReadonlyMap<string, string> {
  const entries = section === undefined ? [] : listEntries(section, container);
  return new Map(entries.map(({ key, text }) => [key, text]));
}

function createDifference(
  name: string,
  current: string | undefined,
  submitted: string | undefined,
): EntryDifference {
  return {
    name,
    ...(current === undefined ? {} : { current }),
    ...(submitted === undefined ? {} : { submitted }),
  };
}
