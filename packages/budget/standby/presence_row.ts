/**
 * The row `presence/VM`, which a VM updates periodically with the time of the
 * update. It is the evidence by which tokens that a dead VM was not yet allowed
 * to use are returned to their budgets.
 *
 * Standby tokens are unlocked gradually with the time since the VM last *sent*
 * a presence update, whether or not the store answered. Each update names the
 * standby grants that are in use although their budget rows don't say so yet.
 * The time from the last update of an incarnation to its end therefore bounds
 * the fraction of its other standby tokens that it can have used.
 */
import { z } from "zod";
import type {
  Incarnation,
  JsonValue,
  Millis,
  RowWrite,
  StoreTime,
  VmId,
} from "../../core/mod.ts";

/**
 * Time since the last presence update was sent after which standby tokens begin
 * to be unlocked. It covers the shortest interval between two updates and a late
 * run of the timer that sends them.
 */
const UNLOCK_DELAY: Millis = 800;

/**
 * Time in which standby tokens are unlocked. The unlocked fraction grows with
 * the square of the time, since most killed processes are restarted within two
 * seconds and free what was not unlocked, while a store that has been
 * unavailable for longer is likely to stay so.
 */
const UNLOCK_TIME: Millis = 4_200;

/** Added to the measured time because clocks drift during an incarnation. */
const CLOCK_MARGIN: Millis = 200;

/**
 * Returns the fraction of each standby grant that is unlocked, from 0 to 1,
 * when the last presence update was sent `presenceAge` ago.
 */
export function computeUnlockedFraction(presenceAge: Millis): number {
  const time = Math.max(0, presenceAge - UNLOCK_DELAY) / UNLOCK_TIME;
  return Math.min(1, time ** 2);
}

/**
 * Returns the time since the last presence update was sent after which a
 * fraction of each standby grant is unlocked. Inverse of
 * {@link computeUnlockedFraction}.
 */
export function computeUnlockTime(fraction: number): Millis {
  return UNLOCK_DELAY + Math.sqrt(fraction) * UNLOCK_TIME;
}

const PRESENCE_SCHEMA = z.object({
  incarnation: z.string(),
  /** Address of the VM; the same name at another address is another machine. */
  address: z.string(),
  /** A time not later than the write of the row; a {@link StoreTime}. */
  presentAt: z.number(),
  /**
   * Ids of standby grants in use that their budget rows still list as standby.
   */
  inUse: z.array(z.string()).default([]),
});

/** The last presence update of an incarnation of a VM. */
export type Presence = z.infer<typeof PRESENCE_SCHEMA>;

/** Returns the key of a VM's presence row. */
export function formatPresenceKey(vm: VmId): string {
  return `presence/${vm}`;
}

/** Returns the write of a VM's presence row. */
export function createPresenceWrite(vm: VmId, presence: Presence): RowWrite {
  const value: JsonValue = { ...presence, inUse: [...presence.inUse] };
  return { key: formatPresenceKey(vm), value };
}

/**
 * Parses a presence; returns undefined if the value doesn't match the schema.
 */
export function parsePresence(value: JsonValue): Presence | undefined {
  return PRESENCE_SCHEMA.safeParse(value).data;
}

/** What is known about the end of an earlier incarnation. */
export interface IncarnationEnd {
  /** The last presence update of the earlier incarnation. */
  readonly presence: Presence;
  /** Address of the current incarnation. */
  readonly address: string;
  /** Latest time at which the current incarnation can have started. */
  readonly startedBy: StoreTime;
}

/** An incarnation that has ended, with a bound on its use of standby tokens. */
export interface EarlierIncarnation {
  readonly incarnation: Incarnation;
  /** Largest fraction of each standby grant that was unlocked, from 0 to 1. */
  readonly unlockedFraction: number;
  /** Ids of standby grants that count as fully used. */
  readonly inUse: readonly string[];
}

/**
 * Returns the incarnation that has ended, or undefined if the presence is of
 * another machine or later than the start of the current incarnation.
 */
export function findEarlierIncarnation(
  end: IncarnationEnd,
): EarlierIncarnation | undefined {
  const { presence, address, startedBy } = end;
  if (presence.address !== address) return undefined;
  const age = startedBy - presence.presentAt;
  // A presence update later than the start of this incarnation cannot be from
  // one that ended before it.
  if (age < 0) return undefined;
  const maxFraction = computeUnlockedFraction(age + CLOCK_MARGIN);
  const { incarnation, inUse } = presence;
  return { incarnation, unlockedFraction: maxFraction, inUse };
}
