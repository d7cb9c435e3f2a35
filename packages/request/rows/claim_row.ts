/**
 * The claim row of one call that must not run twice: `claim/CUSTOMER/KEY`.
 *
 * An attempt takes the claim before it dispatches the call. An open claim never
 * changes its holder, and only the holder records how the call ended. If the
 * holder dies, the claim stays open, and later requests with the key are
 * answered that the outcome is unknown.
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
  /** Key of the answer's body in the object store. */
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

/** A kept answer whose body is in the claim row. */
export type InlineAnswer = z.infer<typeof INLINE_SCHEMA>;

/** A kept answer whose body is in the object store. */
export type StoredAnswer = z.infer<typeof STORED_SCHEMA>;

/** The answer of an ended call, kept for requests that repeat its key. */
export type KeptAnswer = InlineAnswer | StoredAnswer;

/** The value of a claim row. */
export type ClaimRow = z.infer<typeof CLAIM_SCHEMA>;

/** Identifies the attempt to run a call that holds a claim. */
export interface ClaimHolder {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /**
   * Number of the attempt, unique within the VM's incarnation. It may be left
   * out only if `incarnation` alone identifies the attempt; two attempts must
   * never be the same holder.
   */
  readonly attempt?: number;
}

/** Returns the key of the claim row of a call. */
export function formatClaimKey(customer: CustomerId, key: RequestKey): string {
  return `claim/${encodeURIComponent(customer)}/${encodeURIComponent(key)}`;
}

/** Parses the value of a claim row; `Left` is the reason if it is invalid. */
export function parseClaimRow(value: JsonValue): Either<string, ClaimRow> {
  const parsed = CLAIM_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/**
 * Returns the claim row with a key, or undefined if there is none. Throws if
 * its value is invalid.
 */
export function readClaimRow(
  rows: RowView,
  key: string,
): ClaimRow | undefined {
  const row = rows.get(key);
  if (row === undefined) return undefined;
  return parseClaimRow(row.value).caseOf({
    Left: (reason) => {
      throw new Error(
        `Row ${key} is damaged: ${reason}. Restore it from the store's backup.`,
      );
    },
    Right: (value) => value,
  });
}

/** Returns whether an attempt holds a claim. */
export function isHeldBy(row: ClaimRow, holder: ClaimHolder): boolean {
  return row.vm === holder.vm && row.incarnation === holder.incarnation &&
    (row.attempt ?? 0) === (holder.attempt ?? 0);
}

/** Returns the attempt that holds a claim. */
export function readHolder(row: ClaimRow): ClaimHolder {
  const { vm, incarnation, attempt } = row;
  return { vm, incarnation, ...(attempt === undefined ? {} : { attempt }) };
}

/** Formats an attempt as `vm/incarnation/attempt`. */
export function formatHolder(holder: ClaimHolder): string {
  return `${holder.vm}/${holder.incarnation}/${holder.attempt ?? 0}`;
}
