/**
 * Updates a VM's document to the newest version that a reader has.
 *
 * When the VM is only a few changes behind, it reads their rows and applies
 * them. For a change too large for its row, it reads the changed section. When
 * it is further behind or change rows are absent, it reads all changed
 * sections. In both cases it fetches only the chunks that it does not have. The
 * result is never older than the initial document, and is always a complete
 * accepted version.
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
  checkRow,
  collectChunks,
  createDamagedError,
  readHead,
  type ReadResult,
  readRows,
  readSection,
  readVersions,
} from "./read_rows.ts";

/** An updated document, and the changes that were applied one by one. */
export interface LoadedDocument {
  readonly state: DocumentState;
  readonly changes: readonly ChangeRow[];
}

/** Maximum number of changes that are applied one by one. */
const MAX_INCREMENTAL_CHANGES = 100;

/** Maximum number of attempts when the document changes during a load. */
const MAX_ATTEMPTS = 10;

/** Updates a document to the reader's newest version. */
export async function loadDocument(
  reader: DocumentReader,
  state: DocumentState,
): Promise<ReadResult<LoadedDocument>> {
  let current = state;
  const changes: ChangeRow[] = [];
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const head = await readHead(reader);
    if (head.isLeft()) return head as unknown as ReadResult<never>;
    const version = head.orDefault(0);
    if (version <= current.version) return Right({ state: current, changes });
    const result = await loadVersion(reader, current, version);
    if (result.isLeft()) return result;
    const loaded = result.unsafeCoerce();
    current = loaded.state;
    changes.push(...loaded.changes);
  }
  return Right({ state: current, changes });
}

async function loadVersion(
  reader: DocumentReader,
  state: DocumentState,
  version: number,
): Promise<ReadResult<LoadedDocument>> {
  if (state.version > 0 && version - state.version <= MAX_INCREMENTAL_CHANGES) {
    const applied = await applyChangeRows(reader, state, version);
    if (applied.isLeft()) return applied as unknown as ReadResult<never>;
    const loaded = applied.unsafeCoerce();
    if (loaded !== undefined) return Right(loaded);
  }
  const full = await readFullDocument(reader, state);
  return full.map((next) => ({ state: next, changes: [] }));
}

/**
 * Applies changes one by one; undefined when a needed row is absent or does not
 * apply.
 */
async function applyChangeRows(
  reader: DocumentReader,
  state: DocumentState,
  version: number,
): Promise<ReadResult<LoadedDocument | undefined>> {
  const keys: string[] = [];
  for (let each = state.version + 1; each <= version; each++) {
    keys.push(formatChangeKey(each));
  }
  const answer = await readRows(reader, keys);
  if (answer.isLeft()) return answer as unknown as ReadResult<never>;
  const rows = answer.unsafeCoerce();
  if (rows.length < keys.length) return Right(undefined);
  const changes: ChangeRow[] = [];
  let current = state;
  for (const row of rows) {
    const change = checkRow(parseRow(CHANGE_SCHEMA, row));
    if (change.isLeft()) return change as unknown as ReadResult<never>;
    const result = await applyChangeRow(reader, current, change.unsafeCoerce());
    if (result.isLeft()) return result as unknown as ReadResult<never>;
    const next = result.unsafeCoerce();
    if (next === undefined) return Right(undefined);
    current = next;
    changes.push(change.unsafeCoerce());
  }
  return Right({ state: current, changes });
}

async function applyChangeRow(
  reader: DocumentReader,
  state: DocumentState,
  change: ChangeRow,
): Promise<ReadResult<DocumentState | undefined>> {
  const applied = applyInlineChange(state, change);
  if (applied !== undefined) return Right(applied);
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

/**
 * Applies a change whose row contains its edits. Returns undefined when the row
 * contains no edits, or when they cannot be applied to the given state.
 */
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
  const newChunkIds = listNewChunkIds(before, section).join();
  // Other chunk ids mean that the row is damaged or belongs to another text.
  if (newChunkIds !== change.newChunks.join()) return undefined;
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
  return applyChange(state.index, team, {
    section,
    entries,
    source,
    removedRanges: [],
  })
    .map((index) =>
      createState(version, state.sections.add(team, section), index)
    )
    .toMaybe()
    .extract();
}

/**
 * Reads every section, reusing the sections and chunks in memory. Changes may
 * be committed during the read, so the read is repeated until the document's
 * version is the same before and after it.
 */
async function readFullDocument(
  reader: DocumentReader,
  state: DocumentState,
): Promise<ReadResult<DocumentState>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const before = await readHead(reader);
    const sections = await readSections(reader, state);
    const after = await readHead(reader);
    const results = before.chain((first) =>
      sections.chain((read) =>
        after.map((last) => ({ first, last, sections: read }))
      )
    );
    if (results.isLeft()) return results as unknown as ReadResult<never>;
    const read = results.unsafeCoerce();
    if (read.first !== read.last) continue;
    return createFullDocument(state, {
      version: read.last,
      sections: read.sections,
    });
  }
  return Left(
    createDamagedError("The document changed during every attempt to read it."),
  );
}

/** All sections of one document version. */
interface DocumentSections {
  readonly version: number;
  readonly sections: ReadonlyMap<TeamId, SectionState>;
}

/**
 * Builds the document by applying the changed sections to the known document.
 * When that fails, it builds the document from all sections.
 */
function createFullDocument(
  known: DocumentState,
  input: DocumentSections,
): ReadResult<DocumentState> {
  return applySections(known, input)
    .chainLeft(() => applySections(createDocumentState(), input))
    .mapLeft(([error]) =>
      createDamagedError(`The document is invalid: ${error?.message}`)
    );
}

/**
 * Parses only the entries that differ; references are checked in the whole
 * document.
 */
function applySections(
  known: DocumentState,
  input: DocumentSections,
): Either<readonly InputError[], DocumentState> {
  const changed = [...input.sections].filter(([team, section]) =>
    known.sections.get(team)?.version !== section.version
  );
  const initial: Either<readonly InputError[], FleetIndex> = Right(known.index);
  const withSettings = changed.reduce((result, [team, section]) => {
    const source = new SourceText(team, section.skeleton);
    const change = { section, entries: [], source, removedRanges: [] };
    return result.chain((index) => applyChange(index, team, change));
  }, initial);
  const entries = changed.flatMap(([team, after]) => {
    const before = known.sections.get(team);
    const source = new SourceText(team, "");
    return listEntryChanges(team, { before, after, source });
  });
  const sections = known.sections.merge(changed);
  return withSettings.chain((index) => applyEntries(index, entries))
    .map((index) => createState(input.version, sections, index));
}

async function readSections(
  reader: DocumentReader,
  state: DocumentState,
): Promise<ReadResult<ReadonlyMap<TeamId, SectionState>>> {
  const versions = await readVersions(reader);
  if (versions.isLeft()) return versions as unknown as ReadResult<never>;
  const sections = new Map<TeamId, SectionState>();
  for (const [section, version] of versions.unsafeCoerce()) {
    const known = state.sections.get(section);
    if (known?.version === version) {
      sections.set(section, known);
      continue;
    }
    const chunks = collectChunks(known);
    const read = await readSection(reader, { section, version, chunks });
    if (read.isLeft()) return read as unknown as ReadResult<never>;
    const sectionState = read.unsafeCoerce();
    if (sectionState === undefined) {
      return Left(createDamagedError(`Rows of section ${section} are missing`));
    }
    sections.set(section, sectionState);
  }
  return Right(sections);
}
