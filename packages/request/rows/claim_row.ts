/**
 * The row of one call that may not be repeated: `claim/CUSTOMER/KEY`.
 *
 * A claim is taken before the call is dispatched and never changes its holder.
 * Only the holder writes how it ended. A claim whose holder died stays open,
 * and whoever asks is told that the outcome is unknown.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { CustomerId, JsonValue, RequestKey } from "../../core/mod.ts";

const ANSWER_SCHEMA = z.object({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

const CLAIM_SCHEMA = z.object({
  digest: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  state: z.enum(["open", "ran", "not-run"]),
  claimedAt: z.number(),
  tokens: z.number().int().nonnegative().optional(),
  answer: ANSWER_SCHEMA.optional(),
});

/** A kept answer. */
export type KeptAnswer = z.infer<typeof ANSWER_SCHEMA>;

/** The claim row's value. */
export type ClaimRow = z.infer<typeof CLAIM_SCHEMA>;

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
