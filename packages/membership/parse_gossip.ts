/** Validates gossip messages from peers before they are processed. */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { GossipMessage } from "./gossip.ts";
import { MemberState } from "./view.ts";

/** Maximum length of a name, address or other text. */
const MAX_TEXT = 256;

/**
 * Maximum number of updates in `updates` and in `page`. Valid senders include far
 * fewer, since they limit each of the two to `MAX_GOSSIP_BYTES`.
 */
const MAX_UPDATES = 64;

const NAME = z.string().min(1).max(MAX_TEXT);
const TEXT = z.string().max(MAX_TEXT);
const COUNT = z.number().int().nonnegative();

const UPDATE_SCHEMA = z.object({
  vm: NAME,
  incarnation: NAME,
  refutation: COUNT,
  state: z.enum(MemberState),
  documentVersion: COUNT,
  place: z.object({
    region: TEXT,
    dataCentre: TEXT,
    peerAddress: TEXT,
    callerAddress: TEXT,
  }).exactOptional(),
});

const MESSAGE_SCHEMA = z.object({
  from: UPDATE_SCHEMA,
  digest: z.number().int(),
  updates: z.array(UPDATE_SCHEMA).max(MAX_UPDATES),
  pageAfter: TEXT.exactOptional(),
  page: z.array(UPDATE_SCHEMA).max(MAX_UPDATES).exactOptional(),
});

/** Parses a message or an answer; `Left` is the reason if it is invalid. */
export function parseGossip(value: unknown): Either<string, GossipMessage> {
  const parsed = MESSAGE_SCHEMA.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  return Left(z.prettifyError(parsed.error));
}
