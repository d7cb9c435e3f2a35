/**
 * Decides whether a pooled connection may be used again. Whatever tracks
 * connections between the two ends forgets idle and old ones first, so neither
 * is kept for long.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

const MAX_IDLE_TIME: Millis = 15_000;
const MAX_LIFETIME: Millis = 300_000;

/** Part of the longest life by which connections differ. */
const LIFETIME_JITTER = 0.2;

/** One pooled connection. */
export interface PooledConnection {
  readonly openedAt: MonotonicTime;
  readonly lastUsed: MonotonicTime;
  /** Drawn once for the connection, so that a pool does not age as one. */
  readonly draw: number;
}

/** Returns whether a connection may carry another request. */
export function isReusable(
  connection: PooledConnection,
  options: {
    readonly now: MonotonicTime;
    /** When the target's pool was last dropped; older connections are dead. */
    readonly droppedAt?: MonotonicTime;
  },
): boolean {
  const { openedAt, lastUsed, draw } = connection;
  if (openedAt <= (options.droppedAt ?? -Infinity)) return false;
  if (options.now - lastUsed >= MAX_IDLE_TIME) return false;
  const lifetime = MAX_LIFETIME * (1 - LIFETIME_JITTER * draw);
  return options.now - openedAt < lifetime;
}
