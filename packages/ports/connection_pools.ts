/**
 * Pools of kept connections, one for each target. A pool is replaced when it
 * grows old or when its path is proved dead: connections that are in use go on,
 * new calls get new connections.
 */
import { Agent } from "node:http";
import type { Clock, Millis, MonotonicTime, TargetId } from "../core/mod.ts";

/** Longest age of a pool before new calls get a new one. */
export const MAX_POOL_AGE: Millis = 300_000;

const MAX_IDLE_SOCKETS = 1_024;

interface Pool {
  readonly agent: Agent;
  readonly createdAt: MonotonicTime;
}

/** Keeps the pools. */
export class ConnectionPools {
  readonly #clock: Clock;
  readonly #pools = new Map<TargetId, Pool>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the agent for calls of a target. */
  getAgent(target: TargetId): Agent {
    const known = this.#pools.get(target);
    const now = this.#clock.readMonotonic();
    if (known !== undefined && now - known.createdAt < MAX_POOL_AGE) {
      return known.agent;
    }
    this.dropPool(target);
    const agent = new Agent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.#pools.set(target, { agent, createdAt: now });
    return agent;
  }

  /** Forgets a target's pool; its idle connections are closed. */
  dropPool(target: TargetId): void {
    const pool = this.#pools.get(target);
    if (pool === undefined) return;
    this.#pools.delete(target);
    for (const sockets of Object.values(pool.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Forgets every pool. */
  dropAll(): void {
    for (const target of [...this.#pools.keys()]) this.dropPool(target);
  }
}
