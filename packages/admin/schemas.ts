/** Schemas of request bodies and queries. */
import { z } from "zod";
import { Container } from "../document/mod.ts";

const ID = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/)
  .describe("1 to 128 letters, digits, dots, dashes and underscores");

const BASE_VERSION = z.number().int().nonnegative()
  .describe("Version of the section that the change is based on");

const TOKENS = z.number().int().positive().max(1e15).describe(
  "Number of tokens",
);

const MAX_TEXT_LENGTH = 64 * 1_024 * 1_024;
const MAX_VALUES = 1_000;
const MAX_VALUE_LENGTH = 262_144;
const MAX_KEY_HASHES = 100;

/** Max number of items in a page. */
export const MAX_PAGE_SIZE = 200;

const DEFAULT_PAGE_SIZE = 50;

const LIMIT = z.coerce.number().int().min(1).max(MAX_PAGE_SIZE)
  .default(DEFAULT_PAGE_SIZE).describe("Maximum number of items in a page");

/** Body of a request that replaces a section's whole text. */
export const PUT_SECTION = z.strictObject({
  changeId: ID,
  baseVersion: BASE_VERSION,
  text: z.string().max(MAX_TEXT_LENGTH).describe("JSON with comments"),
});

/** Body of a request that sets or removes single entries of a section. */
export const PATCH_SECTION = z.strictObject({
  changeId: ID,
  baseVersion: BASE_VERSION,
  values: z.array(z.strictObject({
    container: z.enum(Container),
    key: ID,
    value: z.string().max(MAX_VALUE_LENGTH).optional()
      .describe("Text of the entry's value; omit it to remove the entry"),
  })).min(1).max(MAX_VALUES),
});

/** Body of a request that rolls a section back to an earlier version. */
export const ROLLBACK = z.strictObject({
  changeId: ID,
  baseVersion: BASE_VERSION,
  toVersion: z.number().int().positive(),
});

/** Body of a request that replaces a team's key hashes. */
export const TEAM_KEYS = z.strictObject({
  changeId: ID,
  baseVersion: BASE_VERSION,
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(
    MAX_KEY_HASHES,
  )
    .describe("SHA-256 of each valid key, in hexadecimal"),
});

/** Body of a request that raises a budget's limit. */
export const TOP_UP = z.strictObject({ topUpId: ID, tokens: TOKENS });

/** Body of a request that lowers a budget's limit. */
export const LOWERING = z.strictObject({ lowerId: ID, tokens: TOKENS });

/** Body of a request that writes off the grants of a lost VM's incarnation. */
export const WRITE_OFF = z.strictObject({
  vm: ID,
  incarnation: ID,
});

/** Query of a request that changes a section. */
export const CHANGE_QUERY = z.strictObject({
  dryRun: z.enum(["true", "false"]).default("false"),
});

/** Query of a request for one page of a list. */
export const PAGE_QUERY = z.strictObject({
  after: z.string().max(256).default("").describe(
    "Last item of the previous page; absent for the first page",
  ),
  limit: LIMIT,
});

/** Query of a request for the change history. */
export const HISTORY_QUERY = z.strictObject({
  before: z.coerce.number().int().positive().optional()
    .describe(
      "Returns only versions below this one; if absent, starts at the newest version",
    ),
  limit: LIMIT,
});
