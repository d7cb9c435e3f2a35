/**
 * Decides whether a pooled connection may be reused. Devices on the path that
 * track connections drop idle and old ones first, so a connection is limited in
 * idle time and in lifetime.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** Idle time after which a connection is not reused. */
const MAX_IDLE_TIME: Millis = 15_000;

/** Lifetime after which a connection is not reused, before jitter. */
const MAX_LIFETIME: Millis = 300_000;

/** Maximum fraction by which the lifetime of a connection is shortened. */
const LIFETIME_JITTER = 0.2;

/** What is known of a pooled connection. */
export interface PooledConnection {
  readonly openedAt: MonotonicTime;
  readonly lastUsed: MonotonicTime;
  /**
   * Random number from 0 to 1, drawn once per connection. It varies lifetimes, so
   * that the connections of a pool do not expire together.
   */
  readonly draw: number;
}

/** Returns whether a connection may carry another request. */
export function isReusable(
  connection: PooledConnection,
  options: {
    readonly now: MonotonicTime;
    /**
     * When the target's pool was last discarded; older connections are dead.
     */
    readonly droppedAt?: MonotonicTime;
  },
): boolean {
  const { openedAt, lastUsed, draw } = connection;
  if (openedAt <= (options.droppedAt ?? -Infinity)) return false;
  if (options.now - lastUsed >= MAX_IDLE_TIME) return false;
  const lifetime = MAX_LIFETIME * (1 - LIFETIME_JITTER * draw);
  return options.now - openedAt < lifetime;
}
