/**
 * Heartbeat rows: `vm/VM`. Each VM writes its own now and then. They are how a
 * VM that starts finds the others, and how operators see who runs what.
 */
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import {
  type Incarnation,
  type JsonValue,
  type Millis,
  MILLIS_PER_MINUTE,
  type Row,
  type RowOperation,
  type VmId,
  type WallTime,
} from "../../core/mod.ts";
import type { MemberUpdate } from "../gossip.ts";
import { type Member, MemberState } from "../view.ts";

/** Prefix of the rows of all VMs. */
export const HEARTBEAT_PREFIX = "vm/";

/** Time between two heartbeats of one VM. */
export const HEARTBEAT_INTERVAL: Millis = MILLIS_PER_MINUTE;

const HEARTBEAT_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  state: z.enum(MemberState),
  region: z.string(),
  dataCentre: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  documentVersion: z.number().int().nonnegative(),
  /** Rises with each heartbeat of one life. */
  number: z.number().int().nonnegative(),
  at: z.number(),
});

/** The heartbeat row's value. */
export type HeartbeatRow = z.infer<typeof HEARTBEAT_SCHEMA>;

/** What became of a heartbeat. */
export interface HeartbeatResult {
  /** A later life of this VM that the row belongs to, if any. */
  readonly replacedBy?: Incarnation;
}

/** Returns the operation that writes a VM's own heartbeat. */
export function createHeartbeat(
  self: Member,
  input: { readonly number: number; readonly wallTime: WallTime },
): RowOperation<HeartbeatResult> {
  const key = `${HEARTBEAT_PREFIX}${self.vm}`;
  const { heardAt: _, ...rest } = self;
  const value: JsonValue = {
    ...rest,
    number: input.number,
    at: input.wallTime,
  };
  return {
    id: `${key}/${self.incarnation}/${input.number}`,
    keys: [key],
    decide(rows) {
      const known = readHeartbeat(rows.get(key));
      if (known === undefined || known.incarnation < self.incarnation) {
        return { writes: [{ key, value }], result: {} };
      }
      if (known.incarnation > self.incarnation) {
        const result = { replacedBy: known.incarnation };
        return { writes: [], result };
      }
      const writes = known.number < input.number ? [{ key, value }] : [];
      return { writes, result: {} };
    },
  };
}

/** Returns the operation that removes the row of a life that is over. */
export function createDropHeartbeat(input: {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}): RowOperation<void> {
  const key = `${HEARTBEAT_PREFIX}${input.vm}`;
  return {
    id: `drop/${key}/${input.incarnation}`,
    keys: [key],
    decide(rows) {
      const known = readHeartbeat(rows.get(key));
      const own = known?.incarnation === input.incarnation;
      return { writes: own ? [{ key }] : [], result: undefined };
    },
  };
}

/** Parses a heartbeat row's value. */
export function parseHeartbeat(value: JsonValue): Either<string, HeartbeatRow> {
  const parsed = HEARTBEAT_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/** Returns what heartbeat rows say of VMs; damaged rows are left out. */
export function listHeartbeatUpdates(rows: readonly Row[]): MemberUpdate[] {
  return rows.flatMap((row) => {
    const known = readHeartbeat(row);
    if (known === undefined) return [];
    const { vm, incarnation, state, documentVersion } = known;
    const { region, dataCentre, peerAddress, callerAddress } = known;
    const place = { region, dataCentre, peerAddress, callerAddress };
    const update = { vm, incarnation, state, documentVersion, place };
    return [{ ...update, refutation: 0 }];
  });
}

/**
 * Returns the incarnation of a VM that starts. It is later than the one before
 * even if the wall clock was set back meanwhile.
 */
export function computeIncarnation(input: {
  readonly wallTime: WallTime;
  /** Incarnation in the VM's heartbeat row, if there is one. */
  readonly previous?: Incarnation;
  /** Drawn at random, so that two processes with one name differ. */
  readonly salt: string;
}): Incarnation {
  const last = Number.parseInt(input.previous?.split("-")[0] ?? "0", 16);
  const start = Math.max(input.wallTime, Number.isNaN(last) ? 0 : last + 1);
  const time = Math.floor(start).toString(16).padStart(TIME_DIGITS, "0");
  return `${time}-${input.salt}`;
}

const TIME_DIGITS = 12;

function readHeartbeat(row: Row | undefined): HeartbeatRow | undefined {
  if (row === undefined) return undefined;
  return parseHeartbeat(row.value).toMaybe().extract();
}
