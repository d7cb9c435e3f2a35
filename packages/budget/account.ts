/**
 * One event's account on one VM: the grants it holds, what is reserved and
 * what is spent. Tokens are reserved and spent from grants in memory; the
 * table hears of them when a grant is closed.
 */
import type { EventId, MonotonicTime, Tokens } from "../core/mod.ts";

/** Tokens moved from an event's budget to one VM. */
export interface Grant {
  /** Unique over all VMs and lives: `vm/incarnation/number`. */
  readonly id: string;
  readonly size: Tokens;
  /** Settled by requests that ended. */
  readonly spent: Tokens;
  /** Held by requests in progress. */
  readonly reserved: Tokens;
  /** After this reading the grant takes no new reservation. */
  readonly deadline: MonotonicTime;
}

/** Immutable snapshot of one event's account. */
export interface EventAccount {
  readonly eventId: EventId;
  readonly grants: readonly Grant[];
  /** Drawing rate in tokens per second, smoothed. */
  readonly drawRate: number;
  readonly lastDraw: MonotonicTime;
}

/** Part of one grant held for one request. */
export interface Reservation {
  readonly eventId: EventId;
  readonly grantId: string;
  readonly tokens: Tokens;
}

/** Returns the account of an event that holds no grant. */
export function createEventAccount(eventId: EventId): EventAccount {
  return { eventId, grants: [], drawRate: 0, lastDraw: 0 };
}

/** Returns the tokens of a grant that are neither spent nor reserved. */
export function computeGrantRoom(grant: Grant): Tokens {
  return grant.size - grant.spent - grant.reserved;
}
