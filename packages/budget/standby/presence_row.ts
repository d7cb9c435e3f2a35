/**
 * The row in which a VM says when it last had word with the table:
 * `presence/VM`. It is the evidence by which tokens that a dead VM had not yet
 * been allowed to use come back.
 *
 * A VM may use standby tokens only when {@link STANDBY_DELAY} has passed since
 * it last *sent* its presence, whether or not the table answered, and sends none
 * again before the table knows which standby tokens were used. So a life that
 * ended within the delay after its last presence used none.
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
 * Time without word of the table after which standby tokens may be used. It
 * covers the restart of a process after a short loss of power; a longer one
 * would keep more tokens in use, which a kill loses.
 */
export const STANDBY_DELAY: Millis = 3_200;

/** Kept back because clocks drift a little while a life lasts. */
const CLOCK_MARGIN: Millis = 200;

/**
 * Time by the table's own steady clock, in milliseconds. It is comparable with
 * readings of any VM and life.
 */
export type TableTime = number;

const PRESENCE_SCHEMA = z.object({
  incarnation: z.string(),
  /** Where the VM is; a VM of the same name elsewhere is another machine. */
  address: z.string(),
  /** Not later than when the row was written, by the table's clock. */
  presentAt: z.number(),
});

/** What one life of a VM last said. */
export type Presence = z.infer<typeof PRESENCE_SCHEMA>;

/** Returns the key of a VM's presence. */
export function formatPresenceKey(vm: VmId): string {
  return `presence/${vm}`;
}

/** Returns the write of a presence. */
export function createPresenceWrite(vm: VmId, presence: Presence): RowWrite {
  const value: JsonValue = { ...presence };
  return { key: formatPresenceKey(vm), value };
}

/** Parses a presence; undefined for a value of another shape. */
export function parsePresence(value: JsonValue): Presence | undefined {
  return PRESENCE_SCHEMA.safeParse(value).data;
}

/** What is known of the end of an earlier life. */
export interface LifeEnd {
  /** What the life last said. */
  readonly presence: Presence;
  /** Where the present life is. */
  readonly address: string;
  /** When the present life began at the latest, by the table's clock. */
  readonly startedBy: TableTime;
}

/** Returns the life that can't have used its standby tokens, if it is one. */
export function findUntouchedLife(end: LifeEnd): Incarnation | undefined {
  const { presence, address, startedBy } = end;
  if (presence.address !== address) return undefined;
  const age = startedBy - presence.presentAt;
  // A presence from after the start is not of a life that is over.
  const isWithin = age >= 0 && age < STANDBY_DELAY - CLOCK_MARGIN;
  return isWithin ? presence.incarnation : undefined;
}
