/**
 * The row in which a VM says when it last had word with the table:
 * `presence/VM`. It is the evidence by which tokens that a dead VM had not yet
 * been allowed to use come back.
 *
 * Standby tokens open little by little with the time since the VM last *sent*
 * its presence, whether or not the table answered, and each presence names the
 * standby grants that are in use though their rows don't say so yet. So the time
 * from a life's last presence to its end bounds the part of its other standby
 * tokens that it can have used.
 */
import { z } from "zod";
import type {
  Incarnation,
  JsonValue,
  Millis,
  RowWrite,
  VmId,
} from "../../core/mod.ts";

/**
 * Time without word of the table after which standby tokens begin to open. It
 * covers a word and a late turn.
 */
const OPENING_DELAY: Millis = 800;

/**
 * Time in which standby tokens open: with its square, since most processes that
 * are killed are back within two seconds and free what had not opened, while a
 * table that was away for longer is likely to stay away.
 */
const OPENING_TIME: Millis = 4_200;

/** Kept back because clocks drift a little while a life lasts. */
const CLOCK_MARGIN: Millis = 200;

/** Returns the part of each standby grant that is open, from 0 to 1. */
export function computeUnlockedFraction(silence: Millis): number {
  const time = Math.max(0, silence - OPENING_DELAY) / OPENING_TIME;
  return Math.min(1, time ** 2);
}

/** Returns the silence after which a part of each standby grant is open. */
export function computeUnlockTime(part: number): Millis {
  return OPENING_DELAY + Math.sqrt(part) * OPENING_TIME;
}

/**
 * Time by the table's own steady clock, in milliseconds. It is comparable with
 * readings of any VM and life.
 */
export type StoreTime = number;

const PRESENCE_SCHEMA = z.object({
  incarnation: z.string(),
  /** Where the VM is; a VM of the same name elsewhere is another machine. */
  address: z.string(),
  /** Not later than when the row was written, by the table's clock. */
  presentAt: z.number(),
  /** Standby grants in use, by id, that their rows still have on standby. */
  inUse: z.array(z.string()).default([]),
});

/** What one life of a VM last said. */
export type Presence = z.infer<typeof PRESENCE_SCHEMA>;

/** Returns the key of a VM's presence. */
export function formatPresenceKey(vm: VmId): string {
  return `presence/${vm}`;
}

/** Returns the write of a presence. */
export function createPresenceWrite(vm: VmId, presence: Presence): RowWrite {
  const value: JsonValue = { ...presence, inUse: [...presence.inUse] };
  return { key: formatPresenceKey(vm), value };
}

/** Parses a presence; undefined for a value of another shape. */
export function parsePresence(value: JsonValue): Presence | undefined {
  return PRESENCE_SCHEMA.safeParse(value).data;
}

/** What is known of the end of an earlier life. */
export interface IncarnationEnd {
  /** What the life last said. */
  readonly presence: Presence;
  /** Where the present life is. */
  readonly address: string;
  /** When the present life began at the latest, by the table's clock. */
  readonly startedBy: StoreTime;
}

/** A life that is over, and how much of its standby tokens it can have used. */
export interface EarlierIncarnation {
  readonly incarnation: Incarnation;
  /** The largest part of each standby grant that was open, from 0 to 1. */
  readonly unlockedFraction: number;
  /** Standby grants that count as used whole, by id. */
  readonly inUse: readonly string[];
}

/** Returns the life that is over, if it is one of this machine. */
export function findEarlierIncarnation(
  end: IncarnationEnd,
): EarlierIncarnation | undefined {
  const { presence, address, startedBy } = end;
  if (presence.address !== address) return undefined;
  const age = startedBy - presence.presentAt;
  // A presence from after the start is not of a life that is over.
  if (age < 0) return undefined;
  const openPart = computeUnlockedFraction(age + CLOCK_MARGIN);
  const { incarnation, inUse } = presence;
  return { incarnation, unlockedFraction: openPart, inUse };
}
