/**
 * The rows of the document.
 *
 * - `document/head`: the version of the whole.
 * - `document/section/TEAM`: the version of one section.
 * - `document/section-version/TEAM/NUMBER`: skeleton and chunk ids at a version.
 * - `document/chunk/ID`: entries; written once, never changed.
 * - `document/change/NUMBER`: who changed what, and the change if it is small.
 * - `document/receipt/CHANGE-ID`: the version that a change became.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Row, RowView, TeamId } from "../../core/mod.ts";
import { Container } from "../text/section_parts.ts";

/** Key of the row that holds the version of the whole. */
export const HEAD_KEY = "document/head";

/** Prefix of the rows that hold the versions of sections. */
export const SECTION_PREFIX = "document/section/";

/** Prefix of the rows of the history. */
export const CHANGE_PREFIX = "document/change/";

/** Prefix of the receipts of changes. */
export const RECEIPT_PREFIX = "document/receipt/";

const NUMBER_DIGITS = 10;

const NUMBER = z.number().int().nonnegative();

/** The version of the whole. */
export const HEAD_SCHEMA = z.object({
  version: NUMBER,
  changeId: z.string(),
});

/** The version of one section. */
export const SECTION_SCHEMA = z.object({ version: NUMBER });

/** A section at one of its versions. */
export const SECTION_VERSION_SCHEMA = z.object({
  skeleton: z.string(),
  containers: z.array(z.object({
    container: z.enum(Container),
    chunks: z.array(z.string()),
  })),
});

/** Entries as pairs of key and text. */
export const CHUNK_SCHEMA = z.object({
  entries: z.array(z.tuple([z.string(), z.string()])),
});

const EDIT_SCHEMA = z.object({
  container: z.enum(Container),
  key: z.string(),
  text: z.string().optional(),
});

/** One accepted change. */
export const CHANGE_SCHEMA = z.object({
  version: NUMBER,
  changeId: z.string(),
  section: z.string(),
  sectionVersion: NUMBER,
  author: z.string(),
  at: z.number(),
  /** The change in plain language, a line each. */
  effects: z.array(z.string()),
  /** Digest of what was asked for. */
  input: z.string(),
  /** Ids of the chunks that the section did not have before. */
  newChunks: z.array(z.string()),
  /** Edits that make the section from the one before; absent when large. */
  edits: z.array(EDIT_SCHEMA).optional(),
});

/** The version that a change became, and a digest of what was asked for. */
export const RECEIPT_SCHEMA = z.object({
  version: NUMBER,
  section: z.string(),
  input: z.string(),
});

/** The version that a change became. */
export type Receipt = z.infer<typeof RECEIPT_SCHEMA>;

/** One accepted change as its row keeps it. */
export type ChangeRow = z.infer<typeof CHANGE_SCHEMA>;

/** Returns the key of a section's version row. */
export function formatSectionKey(section: TeamId): string {
  return `${SECTION_PREFIX}${encodeURIComponent(section)}`;
}

/** Returns the key of a section at one of its versions. */
export function formatSectionVersionKey(
  section: TeamId,
  version: number,
): string {
  const team = encodeURIComponent(section);
  return `document/section-version/${team}/${formatNumber(version)}`;
}

/** Returns the key of a chunk. */
export function formatChunkKey(id: string): string {
  return `document/chunk/${id}`;
}

/** Returns the key of a change in the history. */
export function formatChangeKey(version: number): string {
  return `${CHANGE_PREFIX}${formatNumber(version)}`;
}

/** Returns the key of a change's receipt. */
export function formatReceiptKey(changeId: string): string {
  return `${RECEIPT_PREFIX}${encodeURIComponent(changeId)}`;
}

/** Parses a row's value; the left side says what is wrong with which row. */
export function parseRow<Value>(
  schema: z.ZodType<Value>,
  row: Row,
): Either<string, Value> {
  const parsed = schema.safeParse(row.value);
  if (parsed.success) return Right(parsed.data);
  return Left(
    `Row ${row.key} is damaged: ${
      z.prettifyError(parsed.error)
    }. Restore it from the table's backup.`,
  );
}

/** Returns a row's value among the rows read; a damaged row is thrown. */
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
