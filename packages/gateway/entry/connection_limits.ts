/**
 * Decides which connections of callers are closed: those whose requests arrive
 * too slowly, and some when there are more than the VM has descriptors for.
 */
import type { Bytes, Millis, MonotonicTime } from "../../core/mod.ts";

/** What a connection is doing. */
export enum ConnectionPhase {
  /** No byte of a next request has arrived. */
  Idle = "idle",
  Head = "head",
  Body = "body",
  /** The rest of a refused request is discarded. */
  Rest = "rest",
  /** A request has arrived in full and is not answered. */
  Busy = "busy",
}

/** Why a connection was closed, or its request refused, to protect the VM. */
export enum CloseReason {
  Idle = "idle",
  SlowHead = "slow-head",
  SlowBody = "slow-body",
  Memory = "memory",
  Descriptors = "descriptors",
  /** Too many refused requests are being discarded. */
  Discarding = "discarding",
}

/** Time limits of a connection, as configured when its phase began. */
export interface ConnectionTimes {
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
}

/** A connection as the decisions see it. */
export interface ConnectionState {
  readonly phase: ConnectionPhase;
  /** When the phase began. */
  readonly since: MonotonicTime;
  readonly times: ConnectionTimes;
  /** Bytes of the body that have arrived. */
  readonly bodyBytes: Bytes;
  readonly lastByteAt: MonotonicTime;
  /** When a considerable part of the body has arrived last. */
  readonly progressAt: MonotonicTime;
  readonly address: string;
}

/**
 * Minimum rate of a body, in bytes per millisecond, after a time in which it
 * needs none. The slowest link has 7 Mbit/s, thirteen times as much, for all its
 * connections. A body of 4 MiB may take 79 s.
 */
const MIN_BODY_RATE = 65.536;
const MIN_BODY_TIME: Millis = 15_000;

/**
 * Time after which an idle connection is closed here, beyond its idle time. Only
 * one that never sent a request lasts that long: the server closes the others.
 */
const IDLE_MARGIN: Millis = 2_000;

/** Time after which a connection without a request counts as idle. */
const MIN_IDLE_TIME: Millis = 1_000;

/** Returns which limit of time a connection exceeds, if it does. */
export function findExceededLimit(
  state: ConnectionState,
  now: MonotonicTime,
): CloseReason | undefined {
  const { phase, times, since } = state;
  const age = now - since;
  switch (phase) {
    case ConnectionPhase.Idle:
      return age > times.idleTimeout + IDLE_MARGIN
        ? CloseReason.Idle
        : undefined;
    case ConnectionPhase.Head:
      return age > times.headerTimeout ? CloseReason.SlowHead : undefined;
    case ConnectionPhase.Body: {
      const isSilent = now - state.lastByteAt > times.idleTimeout;
      const maxAge = Math.max(times.idleTimeout, MIN_BODY_TIME) +
        state.bodyBytes / MIN_BODY_RATE;
      return isSilent || age > maxAge ? CloseReason.SlowBody : undefined;
    }
    default:
      return undefined;
  }
}

/**
 * Chooses the connection that is closed for a new one: an idle one, or else one
 * whose request was refused, or else one with an incomplete request. Among these
 * one of the address that holds the most goes first, then the one without
 * progress for the longest time. Requests that have arrived in full stay.
 */
export function chooseClosedConnection<Kind extends ConnectionState>(
  connections: readonly Kind[],
  now: MonotonicTime,
): Kind | undefined {
  const counts = new Map<string, number>();
  for (const { address } of connections) {
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  const count = ({ address }: Kind) => counts.get(address) ?? 0;
  return connections
    .filter(({ phase }) => phase !== ConnectionPhase.Busy)
    .map((connection) => ({ connection, rank: rankPhase(connection, now) }))
    .sort((left, right) =>
      left.rank - right.rank ||
      count(right.connection) - count(left.connection) ||
      left.connection.progressAt - right.connection.progressAt
    )[0]?.connection;
}

/** The request of a new connection may have arrived and not been read. */
function rankPhase(state: ConnectionState, now: MonotonicTime): number {
  const isIdle = state.phase === ConnectionPhase.Idle &&
    now - state.since > MIN_IDLE_TIME;
  if (isIdle) return 0;
  return state.phase === ConnectionPhase.Rest ? 1 : 2;
}
