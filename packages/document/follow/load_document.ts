/**
 * Brings a VM's document up to the newest version that a reader has.
 *
 * A few changes behind, it reads their rows and applies them; further behind,
 * or after a change too large for its row, it reads whole sections by the
 * chunks that it does not have. The result is never older than what it began
 * with, and always a version that was accepted as a whole.
 */
import { Either, Left, Right } from "purify-ts";
import type { InputError, PlatformError, Row, TeamId } from "../../core/mod.ts";
import { PlatformErrorKind } from "../../core/mod.ts";
import { applyEntries } from "../commands/apply_entries.ts";
import { changeSection } from "../commands/change_section.ts";
import {
  createDocumentState,
  createState,
  type DocumentState,
} from "../document_state.ts";
import type { FleetIndex } from "../fleet_index.ts";
import { applyChange, listEntryChanges } from "../queries/plan_change.ts";
import {
  CHANGE_SCHEMA,
  type ChangeRow,
  CHUNK_SCHEMA,
  formatChangeKey,
  formatChunkKey,
  formatReceiptKey,
  formatSectionVersionKey,
  HEAD_KEY,
  HEAD_SCHEMA,
  parseRow,
  type Receipt,
  RECEIPT_SCHEMA,
  SECTION_PREFIX,
  SECTION_SCHEMA,
  SECTION_VERSION_SCHEMA,
} from "../rows/row_schemas.ts";
import { Chunk, listNewChunkIds, type SectionState } from "../section_state.ts";
import { SourceText } from "../text/source_text.ts";
import type { DocumentReader } from "./document_reader.ts";

/** A document that was brought up, and the changes that were read on the way. */
export interface LoadedDocument {
  readonly state: DocumentState;
  readonly changes: readonly ChangeRow[];
}

/** Most changes that are read one by one. */
const MAX_STEPS = 100;

/** Most rows in one read. */
const PAGE_ROWS = 100;

/** Times that a whole read begins anew because the document moves on. */
const MAX_ROUNDS = 10;

type Answer<Value> = Either<PlatformError, Value>;

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

/** Returns the version of the whole; 0 when there is no document. */
export async function readHead(
  reader: DocumentReader,
): Promise<Answer<number>> {
  const answer = await reader.read([HEAD_KEY]);
  return answer.chain(([row]) =>
    row === undefined
      ? Right(0)
      : checkRow(parseRow(HEAD_SCHEMA, row)).map((head) => head.version)
  );
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
  const carried = applyCarriedChange(state, change);
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
export function applyCarriedChange(
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

async function readVersions(
  reader: DocumentReader,
): Promise<Answer<ReadonlyMap<TeamId, number>>> {
  const versions = new Map<TeamId, number>();
  let after: string | undefined;
  do {
    const options = after === undefined
      ? { limit: PAGE_ROWS }
      : { limit: PAGE_ROWS, after };
    const answer = await reader.scan(SECTION_PREFIX, options);
    if (answer.isLeft()) return answer as unknown as Answer<never>;
    const page = answer.unsafeCoerce();
    for (const row of page.rows) {
      const parsed = checkRow(parseRow(SECTION_SCHEMA, row));
      if (parsed.isLeft()) return parsed as unknown as Answer<never>;
      const name = decodeURIComponent(row.key.slice(SECTION_PREFIX.length));
      versions.set(name, parsed.unsafeCoerce().version);
    }
    after = page.next;
  } while (after !== undefined);
  return Right(versions);
}

/** Reads a section at a version; undefined when some of its rows are absent. */
export async function readSection(
  reader: DocumentReader,
  input: {
    readonly section: TeamId;
    readonly version: number;
    readonly chunks: ReadonlyMap<string, Chunk>;
  },
): Promise<Answer<SectionState | undefined>> {
  const key = formatSectionVersionKey(input.section, input.version);
  const answer = await reader.read([key]);
  const parsed = answer.chain(([row]) =>
    row === undefined
      ? Right(undefined)
      : checkRow(parseRow(SECTION_VERSION_SCHEMA, row))
  );
  if (parsed.isLeft()) return parsed as unknown as Answer<never>;
  const value = parsed.unsafeCoerce();
  if (value === undefined) return Right(undefined);
  const ids = value.containers.flatMap((each) => each.chunks);
  const read = await readChunks(reader, ids, input.chunks);
  return read.map((chunks) => {
    if (ids.some((id) => !chunks.has(id))) return undefined;
    const containers = new Map(
      value.containers.map((each) => [
        each.container,
        each.chunks.map((id) => chunks.get(id)!),
      ]),
    );
    return { version: input.version, skeleton: value.skeleton, containers };
  });
}

async function readChunks(
  reader: DocumentReader,
  ids: readonly string[],
  known: ReadonlyMap<string, Chunk>,
): Promise<Answer<ReadonlyMap<string, Chunk>>> {
  const missing = [...new Set(ids)].filter((id) => !known.has(id));
  const answer = await readRows(reader, missing.map(formatChunkKey));
  return answer.chain((rows) => {
    const chunks = new Map(known);
    for (const row of rows) {
      const parsed = checkRow(parseRow(CHUNK_SCHEMA, row));
      if (parsed.isLeft()) return parsed as unknown as Answer<never>;
      const { entries } = parsed.unsafeCoerce();
      const chunk = new Chunk(entries.map(([key, text]) => ({ key, text })));
      chunks.set(chunk.id, chunk);
    }
    return Right(chunks);
  });
}

async function readRows(
  reader: DocumentReader,
  keys: readonly string[],
): Promise<Answer<readonly Row[]>> {
  const rows: Row[] = [];
  for (let from = 0; from < keys.length; from += PAGE_ROWS) {
    const answer = await reader.read(keys.slice(from, from + PAGE_ROWS));
    if (answer.isLeft()) return answer;
    rows.push(...answer.unsafeCoerce());
  }
  return Right(rows);
}

/** Returns the chunks of a section by id. */
export function collectChunks(
  section: SectionState | undefined,
): ReadonlyMap<string, Chunk> {
  const chunks = [...section?.containers.values() ?? []].flat();
  return new Map(chunks.map((chunk) => [chunk.id, chunk]));
}

function checkRow<Value>(parsed: Either<string, Value>): Answer<Value> {
  return parsed.mapLeft(createDamaged);
}

function createDamaged(message: string): PlatformError {
  return {
    kind: PlatformErrorKind.BadAnswer,
    message,
    remedy: "Look at the document's rows and restore them from a backup.",
  };
}

/** Returns the receipt of a change; undefined when it was not accepted. */
export async function readReceipt(
  reader: DocumentReader,
  changeId: string,
): Promise<Answer<Receipt | undefined>> {
  const answer = await reader.read([formatReceiptKey(changeId)]);
  return answer.chain(([row]) =>
    row === undefined
      ? Right(undefined)
      : checkRow(parseRow(RECEIPT_SCHEMA, row))
  );
}

/** Returns changes of the history, the newest first. */
export async function readHistory(
  reader: DocumentReader,
  options: { readonly before: number; readonly limit: number },
): Promise<Answer<readonly ChangeRow[]>> {
  const keys: string[] = [];
  for (let each = options.before - 1; each >= 1; each--) {
    if (keys.length >= options.limit) break;
    keys.push(formatChangeKey(each));
  }
  const answer = await readRows(reader, keys);
  return answer.chain((rows) =>
    Either.sequence(
      rows.map((row) => checkRow(parseRow(CHANGE_SCHEMA, row))),
    )
  ).map((changes) =>
    [...changes].sort((left, right) => right.version - left.version)
  );
}
