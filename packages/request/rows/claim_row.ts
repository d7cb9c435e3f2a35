/**
 * The row of one call that may not be repeated: `claim/CUSTOMER/KEY`.
 *
 * A claim is taken before the call is dispatched and never changes its holder
 * while it is open. Only the holder writes how it ended. A claim whose holder
 * died stays open, and whoever asks is told that the outcome is unknown.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type {
  CustomerId,
  Incarnation,
  JsonValue,
  RequestKey,
  RowView,
  VmId,
} from "../../core/mod.ts";

const INLINE_SCHEMA = z.object({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

const STORED_SCHEMA = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Key of the body in the object store. */
  objectKey: z.string(),
  bytes: z.number().int().nonnegative(),
});

const CLAIM_SCHEMA = z.object({
  digest: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  attempt: z.number().int().optional(),
  state: z.enum(["open", "ran", "not-run", "unknown"]),
  claimedAt: z.number(),
  tokens: z.number().int().nonnegative().optional(),
  answer: z.union([INLINE_SCHEMA, STORED_SCHEMA]).optional(),
});

/** A kept answer whose body is in the row. */
export type InlineAnswer = z.infer<typeof INLINE_SCHEMA>;

/** A kept answer whose body is in the object store. */
export type StoredAnswer = z.infer<typeof STORED_SCHEMA>;

/** A kept answer. */
export type KeptAnswer = InlineAnswer | StoredAnswer;

/** The claim row's value. */
export type ClaimRow = z.infer<typeof CLAIM_SCHEMA>;

/** One attempt to run a call. */
export interface ClaimHolder {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /**
   * Unique within the VM's life. It may be left out only where `incarnation`
   * names the attempt already; two attempts must never be the same holder.
   */
  readonly attempt?: number;
}

/** Returns the key of a claim row. */
export function formatClaimKey(customer: CustomerId, key: RequestKey): string {
  return `claim/${encodeURIComponent(customer)}/${encodeURIComponent(key)}`;
}

/** Parses a claim row's value. */
export function parseClaimRow(value: JsonValue): Either<string, ClaimRow> {
  const parsed = CLAIM_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/** Returns the claim row among the rows read. */
export function readClaimRow(
  rows: RowView,
  key: string,
): ClaimRow | undefined {
  const row = rows.get(key);
  if (row === undefined) return undefined;
  return parseClaimRow(row.value).caseOf({
    Left: (reason) => {
      throw new Error(
        `Row ${key} is damaged: ${reason}. Restore it from the table's backup.`,
      );
    },
    Right: (value) => value,
  });
}

/** Tells whether a claim row was written by an attempt. */
export function isHeldBy(row: ClaimRow, holder: ClaimHolder): boolean {
  return row.vm === holder.vm && row.incarnation === holder.incarnation &&
    (row.attempt ?? 0) === (holder.attempt ?? 0);
}

/** Returns the attempt that wrote a claim row. */
export function readHolder(row: ClaimRow): ClaimHolder {
  const { vm, incarnation, attempt } = row;
  return { vm, incarnation, ...(attempt === undefined ? {} : { attempt }) };
}

/** Formats an attempt as `vm/incarnation/attempt`. */
export function formatHolder(holder: ClaimHolder): string {
  return `${holder.vm}/${holder.incarnation}/${holder.attempt ?? 0}`;
}
