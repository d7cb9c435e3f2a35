/**
 * Brings a VM's document up to the newest version that a reader has.
 *
 * A few changes behind, it reads their rows and applies them; further behind,
 * or after a change too large for its row, it reads whole sections by the
 * chunks that it does not have. The result is never older than what it began
 * with, and always a version that was accepted as a whole.
 */
import { Either, Left, Right } from "purify-ts";
import type { InputError, TeamId } from "../../core/mod.ts";
import { applyChange } from "../commands/apply_change.ts";
import { applyEntries } from "../commands/apply_entries.ts";
import { changeSection } from "../commands/change_section.ts";
import {
  createDocumentState,
  createState,
  type DocumentState,
} from "../document_state.ts";
import type { FleetIndex } from "../fleet_index.ts";
import { listEntryChanges } from "../queries/list_entry_changes.ts";
import {
  CHANGE_SCHEMA,
  type ChangeRow,
  formatChangeKey,
  parseRow,
} from "../rows/row_schemas.ts";
import { listNewChunkIds, type SectionState } from "../section_state.ts";
import { SourceText } from "../text/source_text.ts";
import type { DocumentReader } from "./document_reader.ts";
import {
  type Answer,
  checkRow,
  collectChunks,
  createDamaged,
  readHead,
  readRows,
  readSection,
  readVersions,
} from "./read_rows.ts";

/** A document that was brought up, and the changes that were read on the way. */
export interface LoadedDocument {
  readonly state: DocumentState;
  readonly changes: readonly ChangeRow[];
}

/** Most changes that are read one by one. */
const MAX_STEPS = 100;

/** Times that a whole read begins anew because the document moves on. */
const MAX_ROUNDS = 10;

/** Brings the document up to the reader's newest version. */
export async function loadDocument(
  reader: DocumentReader,
  state: DocumentState,
): Promise<Answer<LoadedDocument>> {
  let current = state;
  const changes: ChangeRow[] = [];
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const head = await readHead(reader);
    if (head.isLeft()) return head as unknown as Answer<never>;
    const version = head.orDefault(0);
    if (version <= current.version) return Right({ state: current, changes });
    const step = await runRound(reader, current, version);
    if (step.isLeft()) return step;
    const loaded = step.unsafeCoerce();
    current = loaded.state;
    changes.push(...loaded.changes);
  }
  return Right({ state: current, changes });
}

async function runRound(
  reader: DocumentReader,
  state: DocumentState,
  version: number,
): Promise<Answer<LoadedDocument>> {
  if (state.version > 0 && version - state.version <= MAX_STEPS) {
    const stepped = await applySteps(reader, state, version);
    if (stepped.isLeft()) return stepped as unknown as Answer<never>;
    const loaded = stepped.unsafeCoerce();
    if (loaded !== undefined) return Right(loaded);
  }
  const whole = await readWhole(reader, state);
  return whole.map((next) => ({ state: next, changes: [] }));
}

/** Applies changes one by one; undefined when their rows are not all there. */
async function applySteps(
  reader: DocumentReader,
  state: DocumentState,
  version: number,
): Promise<Answer<LoadedDocument | undefined>> {
  const keys: string[] = [];
  for (let each = state.version + 1; each <= version; each++) {
    keys.push(formatChangeKey(each));
  }
  const answer = await readRows(reader, keys);
  if (answer.isLeft()) return answer as unknown as Answer<never>;
  const rows = answer.unsafeCoerce();
  if (rows.length < keys.length) return Right(undefined);
  const changes: ChangeRow[] = [];
  let current = state;
  for (const row of rows) {
    const change = checkRow(parseRow(CHANGE_SCHEMA, row));
    if (change.isLeft()) return change as unknown as Answer<never>;
    const step = await applyStep(reader, current, change.unsafeCoerce());
    if (step.isLeft()) return step as unknown as Answer<never>;
    const next = step.unsafeCoerce();
    if (next === undefined) return Right(undefined);
    current = next;
    changes.push(change.unsafeCoerce());
  }
  return Right({ state: current, changes });
}

async function applyStep(
  reader: DocumentReader,
  state: DocumentState,
  change: ChangeRow,
): Promise<Answer<DocumentState | undefined>> {
  const carried = applyInlineChange(state, change);
  if (carried !== undefined) return Right(carried);
  const known = state.sections.get(change.section);
  const read = await readSection(reader, {
    section: change.section,
    version: change.sectionVersion,
    chunks: collectChunks(known),
  });
  return read.map((section) =>
    section && replaceSection(state, change.section, {
      section,
      version: change.version,
    })
  );
}

/** Applies a change that its row carries; undefined when it does not. */
export function applyInlineChange(
  state: DocumentState,
  change: ChangeRow,
): DocumentState | undefined {
  if (change.version !== state.version + 1) return undefined;
  const before = state.sections.get(change.section);
  if (before === undefined || change.edits === undefined) return undefined;
  if (change.sectionVersion !== before.version + 1) return undefined;
  const edits = change.edits.map(({ container, key, text }) =>
    text === undefined ? { container, key } : { container, key, text }
  );
  const section = {
    ...changeSection(before, edits),
    version: change.sectionVersion,
  };
  const made = listNewChunkIds(before, section).join();
  // The same change of another text would be a damaged row or another version.
  if (made !== change.newChunks.join()) return undefined;
  return replaceSection(state, change.section, {
    section,
    version: change.version,
  });
}

function replaceSection(
  state: DocumentState,
  team: TeamId,
  input: { readonly section: SectionState; readonly version: number },
): DocumentState | undefined {
  const { section, version } = input;
  const before = state.sections.get(team);
  const source = new SourceText(team, "");
  const entries = listEntryChanges(team, { before, after: section, source });
  return applyChange(state.index, team, { section, entries, source, cuts: [] })
    .map((index) =>
      createState(version, state.sections.add(team, section), index)
    )
    .toMaybe()
    .extract();
}

/**
 * Reads every section, taking chunks that are known from memory. Sections are
 * read while changes may go on; the head after them says which version the
 * rest must be brought to.
 */
async function readWhole(
  reader: DocumentReader,
  state: DocumentState,
): Promise<Answer<DocumentState>> {
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const before = await readHead(reader);
    const sections = await readSections(reader, state);
    const after = await readHead(reader);
    const all = before.chain((first) =>
      sections.chain((read) =>
        after.map((last) => ({ first, last, sections: read }))
      )
    );
    if (all.isLeft()) return all as unknown as Answer<never>;
    const read = all.unsafeCoerce();
    if (read.first !== read.last) continue;
    return createWhole(state, { version: read.last, sections: read.sections });
  }
  return Left(
    createDamaged("The document changes faster than it can be read."),
  );
}

/** The sections of a version, as read. */
interface WholeInput {
  readonly version: number;
  readonly sections: ReadonlyMap<TeamId, SectionState>;
}

/** Builds the document from what changed since the one known, or anew. */
function createWhole(
  known: DocumentState,
  input: WholeInput,
): Answer<DocumentState> {
  return applySections(known, input)
    .chainLeft(() => applySections(createDocumentState(), input))
    .mapLeft(([error]) => createDamaged(`The document: ${error?.message}`));
}

/** Parses only entries that differ; references are checked over all. */
function applySections(
  known: DocumentState,
  input: WholeInput,
): Either<readonly InputError[], DocumentState> {
  const changed = [...input.sections].filter(([team, section]) =>
    known.sections.get(team)?.version !== section.version
  );
  const start: Either<readonly InputError[], FleetIndex> = Right(known.index);
  const general = changed.reduce((made, [team, section]) => {
    const source = new SourceText(team, section.skeleton);
    const change = { section, entries: [], source, cuts: [] };
    return made.chain((index) => applyChange(index, team, change));
  }, start);
  const entries = changed.flatMap(([team, after]) => {
    const before = known.sections.get(team);
    const source = new SourceText(team, "");
    return listEntryChanges(team, { before, after, source });
  });
  const sections = known.sections.merge(changed);
  return general.chain((index) => applyEntries(index, entries))
    .map((index) => createState(input.version, sections, index));
}

async function readSections(
  reader: DocumentReader,
  state: DocumentState,
): Promise<Answer<ReadonlyMap<TeamId, SectionState>>> {
  const versions = await readVersions(reader);
  if (versions.isLeft()) return versions as unknown as Answer<never>;
  const sections = new Map<TeamId, SectionState>();
  for (const [section, version] of versions.unsafeCoerce()) {
    const known = state.sections.get(section);
    if (known?.version === version) {
      sections.set(section, known);
      continue;
    }
    const chunks = collectChunks(known);
    const read = await readSection(reader, { section, version, chunks });
    if (read.isLeft()) return read as unknown as Answer<never>;
    const made = read.unsafeCoerce();
    if (made === undefined) {
      return Left(createDamaged(`Section ${section} lacks rows`));
    }
    sections.set(section, made);
  }
  return Right(sections);
}
