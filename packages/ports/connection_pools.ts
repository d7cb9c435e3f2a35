/**
 * Keep-alive connection pools, one per target and set of regions whose VMs may
 * relay its connections. A pool is replaced when it reaches its maximum age or
 * when the network path to its target has failed: requests in progress keep
 * their connections, and new calls open new ones.
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import type {
  Clock,
  Millis,
  MonotonicTime,
  RegionId,
  TargetId,
  VmId,
} from "../core/mod.ts";
import { findRelay } from "./relayed_connection.ts";

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
    /** The only regions whose VMs may relay the connection; any if absent. */
    readonly relayRegions?: ReadonlySet<RegionId>;
  },
) => void;

/** How the connections of pools are established and kept. */
export interface PoolOptions {
  /** How to connect to a target; over TCP if absent. */
  readonly connect?: ConnectToTarget;
  /**
   * Whether a VM may relay kept connections of a pool with these regions; asked
   * before each use, since regions of VMs change. None may if absent.
   */
  readonly mayRelay?: (vm: VmId, regions: ReadonlySet<RegionId>) => boolean;
  /**
   * Whether a VM will cut what it relays; its connections are not kept after the
   * request that they carry. None will if absent.
   */
  readonly isLeaving?: (vm: VmId) => boolean;
}

/**
 * Agent that closes an idle connection on which bytes arrive: they answer no
 * request, and would be read as the answer to the next one.
 */
class TargetAgent extends Agent {
  readonly #connect: ConnectToAddress | undefined;
  readonly #isLeaving: (vm: VmId) => boolean;

  constructor(
    connect: ConnectToAddress | undefined,
    isLeaving: (vm: VmId) => boolean,
  ) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.#connect = connect;
    this.#isLeaving = isLeaving;
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
    const relay = findRelay(socket as Socket);
    if (relay !== undefined && this.#isLeaving(relay)) return false;
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

/** Key of the pool whose connections any VM may relay. */
const ANY_RELAY = "";

/** Holds the connection pools of each target. */
export class ConnectionPools {
  readonly #clock: Clock;
  readonly #options: PoolOptions;
  /** The pools of each target, by the regions whose VMs may relay. */
  readonly #pools = new Map<TargetId, Map<string, Pool>>();

  constructor(clock: Clock, options: PoolOptions = {}) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Returns the HTTP agent for calls to a target, creating it if needed.
   *
   * @param relayRegions The only regions whose VMs may relay its connections, new
   * and kept ones; any if absent.
   */
  getAgent(target: TargetId, relayRegions?: ReadonlySet<RegionId>): Agent {
    const key = relayRegions === undefined
      ? ANY_RELAY
      : JSON.stringify([...relayRegions].sort());
    const pools = this.#pools.get(target) ?? new Map<string, Pool>();
    this.#pools.set(target, pools);
    const known = pools.get(key);
    const now = this.#clock.readMonotonic();
    if (
      known !== undefined && now - known.createdAt < MAX_POOL_AGE &&
      !this.#hasForeignRelay(known, relayRegions)
    ) return known.agent;
    this.#dropExpired(pools, key);
    const { connect, isLeaving = () => false } = this.#options;
    const agent = new TargetAgent(
      connect === undefined ? undefined : (address, done) =>
        connect(target, {
          address,
          done,
          ...(relayRegions === undefined ? {} : { relayRegions }),
        }),
      isLeaving,
    );
    pools.set(key, { agent, createdAt: now });
    return agent;
  }

  /** Removes all pools of a target and closes their idle connections. */
  dropPool(target: TargetId): void {
    for (const pool of this.#pools.get(target)?.values() ?? []) closeIdle(pool);
    this.#pools.delete(target);
  }

  /** Removes every pool and closes the idle connections. */
  dropAll(): void {
    for (const target of [...this.#pools.keys()]) this.dropPool(target);
  }

  /** Closes the idle connections that a VM relays. */
  dropRelayed(vm: VmId): void {
    const pools = [...this.#pools.values()].flatMap((each) => [
      ...each.values(),
    ]);
    for (const pool of pools) {
      closeIdle(pool, (socket) => findRelay(socket) === vm);
    }
  }

  /** Whether a VM that may not relay any more relays an idle connection. */
  #hasForeignRelay(
    { agent }: Pool,
    regions: ReadonlySet<RegionId> | undefined,
  ): boolean {
    if (regions === undefined) return false;
    const { mayRelay = () => false } = this.#options;
    return Object.values(agent.freeSockets).flat().some((socket) => {
      const relay = findRelay(socket as Socket);
      return relay !== undefined && !mayRelay(relay, regions);
    });
  }

  /** Drops a pool, and those that have reached their maximum age. */
  #dropExpired(pools: Map<string, Pool>, dropped: string): void {
    const now = this.#clock.readMonotonic();
    for (const [key, pool] of pools) {
      if (key !== dropped && now - pool.createdAt < MAX_POOL_AGE) continue;
      pools.delete(key);
      closeIdle(pool);
    }
  }
}

/** Closes connections of a pool that carry no request; all by default. */
function closeIdle(
  { agent }: Pool,
  isClosed: (socket: Socket) => boolean = () => true,
): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of (sockets ?? []) as Socket[]) {
      if (isClosed(socket)) socket.destroy();
    }
  }
}
