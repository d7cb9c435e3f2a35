/**
 * Keep-alive connection pools, one per target. A pool is replaced when it
 * reaches its maximum age or when the network path to its target has failed:
 * requests in progress keep their connections, and new calls open new ones.
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock, Millis, MonotonicTime, TargetId } from "../core/mod.ts";

/** Maximum age of a pool; later calls use a new pool. */
export const MAX_POOL_AGE: Millis = 300_000;

const MAX_IDLE_SOCKETS = 1_024;

/** Receives a connection or an error; called once. */
export type ConnectCallback = (error: Error | null, stream: Duplex) => void;

/** Where a target listens. */
export interface TargetAddress {
  readonly host: string;
  readonly port: number;
}

/** Starts to connect to an address. */
type ConnectToAddress = (
  address: TargetAddress,
  callback: ConnectCallback,
) => void;

/** Starts to connect to a target. */
export type ConnectToTarget = (
  target: TargetId,
  input: {
    readonly address: TargetAddress;
    readonly done: ConnectCallback;
  },
) => void;

/**
 * Agent that closes an idle connection on which bytes arrive: they answer no
 * request, and would be read as the answer to the next one.
 */
class TargetAgent extends Agent {
  readonly #connect: ConnectToAddress | undefined;

  constructor(connect: ConnectToAddress | undefined) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.#connect = connect;
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: ConnectCallback,
  ): Duplex | null | undefined {
    if (this.#connect === undefined || callback === undefined) {
      return super.createConnection(options, callback);
    }
    const address = { host: String(options.host), port: Number(options.port) };
    this.#connect(address, callback);
    return undefined;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on("data", closeSocket);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.removeListener("data", closeSocket);
    super.reuseSocket(socket, request);
  }
}

function closeSocket(this: Duplex): void {
  this.destroy();
}

interface Pool {
  readonly agent: Agent;
  readonly createdAt: MonotonicTime;
}

/** Holds the connection pool of each target. */
export class ConnectionPools {
  readonly #clock: Clock;
  readonly #pools = new Map<TargetId, Pool>();

  readonly #connect: ConnectToTarget | undefined;

  /** @param connect How to connect to a target; over TCP if absent. */
  constructor(clock: Clock, connect?: ConnectToTarget) {
    this.#clock = clock;
    this.#connect = connect;
  }

  /** Returns the HTTP agent for calls to a target, creating it if needed. */
  getAgent(target: TargetId): Agent {
    const known = this.#pools.get(target);
    const now = this.#clock.readMonotonic();
    if (known !== undefined && now - known.createdAt < MAX_POOL_AGE) {
      return known.agent;
    }
    this.dropPool(target);
    const connect = this.#connect;
    const agent = new TargetAgent(
      connect === undefined
        ? undefined
        : (address, done) => connect(target, { address, done }),
    );
    this.#pools.set(target, { agent, createdAt: now });
    return agent;
  }

  /** Removes a target's pool and closes its idle connections. */
  dropPool(target: TargetId): void {
    const pool = this.#pools.get(target);
    if (pool === undefined) return;
    this.#pools.delete(target);
    for (const sockets of Object.values(pool.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Removes every pool and closes the idle connections. */
  dropAll(): void {
    for (const target of [...this.#pools.keys()]) this.dropPool(target);
  }
}
