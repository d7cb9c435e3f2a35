/**
 * Heartbeat rows: `vm/VM`. Each VM writes its own row periodically. A starting
 * VM reads the rows to discover the others, and operators see from them which
 * VMs run and with which document version.
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

/** Key prefix of all heartbeat rows. */
export const HEARTBEAT_PREFIX = "vm/";

/** Interval between the heartbeats of a VM. */
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
  /** Sequence number of the heartbeat within the incarnation. */
  number: z.number().int().nonnegative(),
  /** Wall time at which the row was written. */
  at: z.number(),
});

/** The value of a heartbeat row. */
export type HeartbeatRow = z.infer<typeof HEARTBEAT_SCHEMA>;

/** Result of writing a heartbeat. */
export interface HeartbeatResult {
  /** The later incarnation of the VM that owns the row, if there is one. */
  readonly replacedBy?: Incarnation;
}

/**
 * Returns the store operation that writes a VM's own heartbeat. It writes
 * nothing if the row belongs to a later incarnation, or to this one with the
 * same or a higher number.
 */
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

/**
 * Returns the store operation that deletes the heartbeat row of an incarnation
 * that ended. It leaves the row of any other incarnation.
 */
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
      const isOwnRow = known?.incarnation === input.incarnation;
      return { writes: isOwnRow ? [{ key }] : [], result: undefined };
    },
  };
}

/** Parses the value of a heartbeat row; `Left` is the reason if it is invalid. */
export function parseHeartbeat(value: JsonValue): Either<string, HeartbeatRow> {
  const parsed = HEARTBEAT_SCHEMA.safeParse(value);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right(parsed.data);
}

/** Returns the heartbeat rows as updates of members; skips invalid rows. */
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
 * Returns the incarnation of a starting VM. It sorts after the previous one
 * even if the wall clock was set back in the meantime.
 */
export function computeIncarnation(input: {
  readonly wallTime: WallTime;
  /** Incarnation in the VM's heartbeat row, if there is one. */
  readonly previous?: Incarnation;
  /** Random text that tells apart two processes with the same VM name. */
  readonly salt: string;
}): Incarnation {
  const last = Number.parseInt(input.previous?.split("-")[0] ?? "0", 16);
  const start = Math.max(input.wallTime, Number.isNaN(last) ? 0 : last + 1);
  const time = Math.floor(start).toString(16).padStart(TIME_DIGITS, "0");
  return `${time}-${input.salt}`;
}

/** Hexadecimal digits of the time, padded so that incarnations sort as text. */
const TIME_DIGITS = 12;

function readHeartbeat(row: Row | undefined): HeartbeatRow | undefined {
  if (row === undefined) return undefined;
  return parseHeartbeat(row.value).toMaybe().extract();
}
