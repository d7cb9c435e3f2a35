/**
 * Keys and schemas of the document's rows.
 *
 * - `document/head`: the version of the document.
 * - `document/section/TEAM`: the version of one section.
 * - `document/section-version/TEAM/NUMBER`: skeleton and chunk ids at a version.
 * - `document/chunk/ID`: entries; written once, never modified.
 * - `document/change/NUMBER`: author, time and effects of a change, and its
 *   edits if they are small.
 * - `document/receipt/CHANGE-ID`: the version that a change created.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Row, RowView, TeamId } from "../../core/mod.ts";
import { Container } from "../text/section_parts.ts";

/** Key of the row with the version of the document. */
export const HEAD_KEY = "document/head";

/** Prefix of the rows with the versions of sections. */
export const SECTION_PREFIX = "document/section/";

/** Prefix of the rows of the change history. */
export const CHANGE_PREFIX = "document/change/";

/** Prefix of the receipts of changes. */
export const RECEIPT_PREFIX = "document/receipt/";

/**
 * Digits of a version in a row key; zero padding keeps keys in numeric order.
 */
const NUMBER_DIGITS = 10;

const NUMBER = z.number().int().nonnegative();

/** Value of the head row: the version of the document and its newest change. */
export const HEAD_SCHEMA = z.object({
  version: NUMBER,
  changeId: z.string(),
});

/** Value of a section row: the version of the section. */
export const SECTION_SCHEMA = z.object({ version: NUMBER });

/**
 * Value of a section-version row: the skeleton, and the chunk ids of each
 * container.
 */
export const SECTION_VERSION_SCHEMA = z.object({
  skeleton: z.string(),
  containers: z.array(z.object({
    container: z.enum(Container),
    chunks: z.array(z.string()),
  })),
});

/** Value of a chunk row: entries as pairs of key and text. */
export const CHUNK_SCHEMA = z.object({
  entries: z.array(z.tuple([z.string(), z.string()])),
});

const EDIT_SCHEMA = z.object({
  container: z.enum(Container),
  key: z.string(),
  text: z.string().optional(),
});

/** Value of a change row: one accepted change. */
export const CHANGE_SCHEMA = z.object({
  version: NUMBER,
  changeId: z.string(),
  section: z.string(),
  sectionVersion: NUMBER,
  author: z.string(),
  at: z.number(),
  /** Effects of the change in plain language, one per line. */
  effects: z.array(z.string()),
  /** Digest of the requested change. */
  input: z.string(),
  /**
   * Ids of the chunks in which the section differs from its previous version, as
   * `listNewChunks` returns them.
   */
  newChunks: z.array(z.string()),
  /**
   * Edits that produce the section from its previous version; absent when
   * large.
   */
  edits: z.array(EDIT_SCHEMA).optional(),
});

/**
 * Value of a receipt row: the version that a change created, and its input
 * digest.
 */
export const RECEIPT_SCHEMA = z.object({
  version: NUMBER,
  section: z.string(),
  input: z.string(),
});

/** Proof that a change was accepted, with the version that it created. */
export type Receipt = z.infer<typeof RECEIPT_SCHEMA>;

/** One accepted change, as stored in its row. */
export type ChangeRow = z.infer<typeof CHANGE_SCHEMA>;

/** Returns the key of the section row, which contains the section's version. */
export function formatSectionKey(section: TeamId): string {
  return `${SECTION_PREFIX}${encodeURIComponent(section)}`;
}

/** Returns the key of the section-version row of a section at one version. */
export function formatSectionVersionKey(
  section: TeamId,
  version: number,
): string {
  const team = encodeURIComponent(section);
  return `document/section-version/${team}/${formatNumber(version)}`;
}

/** Returns the key of a chunk's row. */
export function formatChunkKey(id: string): string {
  return `document/chunk/${id}`;
}

/** Returns the key of the change that created a document version. */
export function formatChangeKey(version: number): string {
  return `${CHANGE_PREFIX}${formatNumber(version)}`;
}

/** Returns the key of a change's receipt. */
export function formatReceiptKey(changeId: string): string {
  return `${RECEIPT_PREFIX}${encodeURIComponent(changeId)}`;
}

/**
 * Parses a row's value; the left side is a message that names the row and the
 * error.
 */
export function parseRow<Value>(
  schema: z.ZodType<Value>,
  row: Row,
): Either<string, Value> {
  const parsed = schema.safeParse(row.value);
  if (parsed.success) return Right(parsed.data);
  return Left(
    `Row ${row.key} is damaged: ${
      z.prettifyError(parsed.error)
    }. Restore it from the store's backup.`,
  );
}

/**
 * Returns the value of a row; undefined when the row is absent.
 * @throws {Error} when the row is damaged.
 */
export function readRow<Value>(
  rows: RowView,
  key: string,
  schema: z.ZodType<Value>,
): Value | undefined {
  const row = rows.get(key);
  if (row === undefined) return undefined;
  return parseRow(schema, row).caseOf({
    Left: (reason) => {
      throw new Error(reason);
    },
    Right: (value) => value,
  });
}

function formatNumber(version: number): string {
  return String(version).padStart(NUMBER_DIGITS, "0");
}
