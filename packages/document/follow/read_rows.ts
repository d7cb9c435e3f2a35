/** Reads and validates the rows of the document, from the store or a peer. */
import { Either, Right } from "purify-ts";
import {
  type PlatformError,
  PlatformErrorKind,
  type Row,
  type TeamId,
} from "../../core/mod.ts";
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
import { Chunk, type SectionState } from "../section_state.ts";
import type { DocumentReader } from "./document_reader.ts";

/** Maximum number of rows in one read. */
const PAGE_ROWS = 100;

/** A value, or the error of the read. */
export type ReadResult<Value> = Either<PlatformError, Value>;

/** Returns the version of the document; 0 when there is none. */
export async function readHead(
  reader: DocumentReader,
): Promise<ReadResult<number>> {
  const answer = await reader.read([HEAD_KEY]);
  return answer.chain(([row]) =>
    row === undefined
      ? Right(0)
      : checkRow(parseRow(HEAD_SCHEMA, row)).map((head) => head.version)
  );
}

/** Returns the version of every section. */
export async function readVersions(
  reader: DocumentReader,
): Promise<ReadResult<ReadonlyMap<TeamId, number>>> {
  const versions = new Map<TeamId, number>();
  let after: string | undefined;
  do {
    const options = after === undefined
      ? { limit: PAGE_ROWS }
      : { limit: PAGE_ROWS, after };
    const answer = await reader.scan(SECTION_PREFIX, options);
    if (answer.isLeft()) return answer as unknown as ReadResult<never>;
    const page = answer.unsafeCoerce();
    for (const row of page.rows) {
      const parsed = checkRow(parseRow(SECTION_SCHEMA, row));
      if (parsed.isLeft()) return parsed as unknown as ReadResult<never>;
      const name = decodeURIComponent(row.key.slice(SECTION_PREFIX.length));
      versions.set(name, parsed.unsafeCoerce().version);
    }
    after = page.next;
  } while (after !== undefined);
  return Right(versions);
}

/**
 * Reads a section at a version; undefined when some of its rows are absent.
 * Chunks given in `chunks` are not read again.
 */
export async function readSection(
  reader: DocumentReader,
  input: {
    readonly section: TeamId;
    readonly version: number;
    readonly chunks: ReadonlyMap<string, Chunk>;
  },
): Promise<ReadResult<SectionState | undefined>> {
  const key = formatSectionVersionKey(input.section, input.version);
  const answer = await reader.read([key]);
  const parsed = answer.chain(([row]) =>
    row === undefined
      ? Right(undefined)
      : checkRow(parseRow(SECTION_VERSION_SCHEMA, row))
  );
  if (parsed.isLeft()) return parsed as unknown as ReadResult<never>;
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
): Promise<ReadResult<ReadonlyMap<string, Chunk>>> {
  const missing = [...new Set(ids)].filter((id) => !known.has(id));
  const answer = await readRows(reader, missing.map(formatChunkKey));
  return answer.chain((rows) => {
    const chunks = new Map(known);
    for (const row of rows) {
      const parsed = checkRow(parseRow(CHUNK_SCHEMA, row));
      if (parsed.isLeft()) return parsed as unknown as ReadResult<never>;
      const { entries } = parsed.unsafeCoerce();
      const chunk = new Chunk(entries.map(([key, text]) => ({ key, text })));
      chunks.set(chunk.id, chunk);
    }
    return Right(chunks);
  });
}

/** Reads rows in batches; absent rows are omitted. */
export async function readRows(
  reader: DocumentReader,
  keys: readonly string[],
): Promise<ReadResult<readonly Row[]>> {
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

/**
 * Converts the message of a row that cannot be parsed into a platform error.
 */
export function checkRow<Value>(
  parsed: Either<string, Value>,
): ReadResult<Value> {
  return parsed.mapLeft(createDamagedError);
}

/**
 * Returns the error for rows that are inconsistent or do not match their
 * schema.
 */
export function createDamagedError(message: string): PlatformError {
  return {
    kind: PlatformErrorKind.BadAnswer,
    message,
    remedy: "Check the document's rows and restore them from a backup.",
  };
}

/** Returns the receipt of a change; undefined when it was not accepted. */
export async function readReceipt(
  reader: DocumentReader,
  changeId: string,
): Promise<ReadResult<Receipt | undefined>> {
  const answer = await reader.read([formatReceiptKey(changeId)]);
  return answer.chain(([row]) =>
    row === undefined
      ? Right(undefined)
      : checkRow(parseRow(RECEIPT_SCHEMA, row))
  );
}

/** Returns the changes before a version, newest first, up to a limit. */
export async function readHistory(
  reader: DocumentReader,
  options: { readonly before: number; readonly limit: number },
): Promise<ReadResult<readonly ChangeRow[]>> {
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
