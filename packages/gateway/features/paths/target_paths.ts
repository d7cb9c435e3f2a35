/**
 * Connects to targets, over a peer where this VM's own path is lost. One VM
 * remains responsible for a request: it reserves, bills and retries, and a peer
 * forwards bytes.
 */
import { createConnection, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  Millis,
  MonotonicTime,
  TargetId,
  Undo,
  VmId,
} from "../../../core/mod.ts";
import { type HomeRegions, isAllowedRegion } from "../../../routes/mod.ts";
import {
  checkConnection,
  type ConnectCallback,
  type ConnectionPools,
  ConnectionProbe,
  RelayOutcome,
  type StartConnection,
  startRelayedConnection,
  type TargetAddress,
} from "../../../ports/mod.ts";
import {
  chooseRelays,
  isRefusalProven,
  PathTable,
} from "../../../routing/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { PeerList } from "../peers/peer_list.ts";
import { PathRace } from "./path_race.ts";

/** Maximum time to connect, over any path: one retransmission and more. */
const CONNECT_LIMIT: Millis = 700;

/** Time limit of one peer's answer. */
const RELAY_TIMEOUT: Millis = 500;

/** Time after which the next peer is asked while the one before is silent. */
const RELAY_INTERVAL: Millis = 150;

/** Time for which a peer that relays nothing is asked after all others. */
const DECLINED_PERIOD: Millis = 2_000;

/** Pause between two probes of lost paths. */
const PROBE_INTERVAL: Millis = 400;

/** Connects to targets and keeps what is known of the paths to them. */
export class TargetPaths {
  readonly #context: GatewayContext;
  readonly #peers: PeerList;
  readonly #connect: StartConnection;
  readonly #findAddress: (target: TargetId) => TargetAddress | undefined;
  readonly #reportUnreached: (target: TargetId) => void;
  readonly #table = new PathTable();
  readonly #avoidedUntil = new Map<VmId, MonotonicTime>();
  #pools: ConnectionPools | undefined;

  constructor(
    context: GatewayContext,
    options: {
      readonly peers: PeerList;
      /** Starts a direct connection; over TCP if absent. */
      readonly connect: StartConnection | undefined;
      /** Returns where a listed target listens. */
      readonly findAddress: (target: TargetId) => TargetAddress | undefined;
      /** Called when no path to a target led to a connection. */
      readonly reportUnreached: (target: TargetId) => void;
    },
  ) {
    this.#context = context;
    this.#peers = options.peers;
    this.#connect = options.connect ?? createConnection;
    this.#findAddress = options.findAddress;
    this.#reportUnreached = options.reportUnreached;
  }

  /** Starts to probe lost paths. */
  register(): Undo {
    const { log, random } = this.#context;
    return startPeriodic({
      interval: PROBE_INTERVAL,
      random,
      run: () => this.#probeNext(),
      reportError: createErrorReporter(log, "paths to targets"),
    }).stop;
  }

  /** Sets the pools whose idle connections end with the path that they use. */
  setPools(pools: ConnectionPools): void {
    this.#pools = pools;
  }

  /** Whether this VM's own path to a target is lost. */
  isLost(target: TargetId): boolean {
    return this.#table.isLost(target);
  }

  /** Forgets a target that is gone. */
  remove(target: TargetId): void {
    this.#table.remove(target);
    this.#recordCount();
  }

  /** Whether a peer is in one of the regions, as far as known. */
  mayRelay(vm: VmId, regions: HomeRegions): boolean {
    const peer = this.#peers.listPeers().find((each) => each.vm === vm);
    return isAllowedRegion(regions, peer?.region);
  }

  /**
   * Connects to a target; the callback is called once. Only peers in the given
   * regions relay the connection, any if there are none.
   */
  connect(
    target: TargetId,
    input: {
      readonly address: TargetAddress;
      readonly done: ConnectCallback;
      readonly relayRegions?: HomeRegions;
    },
  ): void {
    const { address, relayRegions } = input;
    const now = this.#context.clock.readMonotonic();
    const plan = this.#table.plan(target, now);
    new PathRace({
      plan,
      limit: CONNECT_LIMIT,
      connect: () => this.#connect({ ...address, noDelay: true }),
      done: input.done,
      askPeers: (onSocket) =>
        this.#askPeers({ ...address, relayRegions }, onSocket),
      recordDirect: () => this.#recordDirect(target),
      recordRelayed: (isHanging) => this.#recordRelayed(target, isHanging),
      recordUnreached: () => {
        // Peers that weren't asked may reach it.
        if (relayRegions === undefined) this.#recordUnreached(target);
      },
      isRefusalProven: (outcomes) => this.#isRefusalProven(outcomes),
    }).start();
  }

  /**
   * Checks whether a target's machine accepts connections. A refusal counts only
   * if peers are refused as well, since a lost path may refuse.
   */
  async check(
    input: TargetAddress & { readonly timeout: Millis },
  ): Promise<ConnectionProbe> {
    const connect = this.#connect;
    const result = await checkConnection({ ...input, connect });
    if (result !== ConnectionProbe.Refused) return result;
    let isAccepted = false;
    const outcomes = await this.#askPeers(input, (socket) => {
      isAccepted = true;
      socket.destroy();
    });
    if (isAccepted) return ConnectionProbe.Accepted;
    return this.#isRefusalProven(outcomes) ? result : ConnectionProbe.NoAnswer;
  }

  #isRefusalProven(outcomes: readonly RelayOutcome[]): boolean {
    return isRefusalProven({ outcomes, peers: this.#peers.listPeers().length });
  }

  /** Probes one lost path, and all others once that one is back. */
  async #probeNext(): Promise<void> {
    const next = this.#table.takeProbe();
    if (next === undefined || !await this.#probe(next)) return;
    await Promise.all(
      this.#table.listLost().map((target) => this.#probe(target)),
    );
  }

  /** Probes a lost path; returns whether it is back. */
  async #probe(target: TargetId): Promise<boolean> {
    const address = this.#findAddress(target);
    if (address === undefined) return false;
    const result = await checkConnection({
      ...address,
      timeout: CONNECT_LIMIT,
      connect: this.#connect,
    });
    const isBack = result === ConnectionProbe.Accepted;
    if (isBack) this.#recordDirect(target);
    return isBack;
  }

  /**
   * Asks peers in turn, the next one when the one before fails or is silent.
   * Passes on the first connection and resolves to the outcomes of all asked.
   */
  async #askPeers(
    target: TargetAddress & { readonly relayRegions?: HomeRegions | undefined },
    onSocket: (socket: Socket) => void,
  ): Promise<RelayOutcome[]> {
    const { vm, region, clock } = this.#context;
    const peers = chooseRelays(this.#peers.listPeers(), {
      self: vm,
      region,
      avoidedUntil: this.#avoidedUntil,
      homeRegions: target.relayRegions,
      now: clock.readMonotonic(),
    });
    const outcomes: RelayOutcome[] = [];
    const running: Promise<void>[] = [];
    let isConnected = false;
    for (const peer of peers) {
      if (isConnected) break;
      const asking = startRelayedConnection({
        peer,
        key: this.#peers.findKey(peer.address),
        target: `${target.host}:${target.port}`,
        timeout: RELAY_TIMEOUT,
      }).then((answer) => {
        outcomes.push(answer.outcome);
        if (answer.outcome === RelayOutcome.Declined) this.#avoid(peer.vm);
        if (answer.outcome !== RelayOutcome.Connected) return;
        if (isConnected) return void answer.socket.destroy();
        isConnected = true;
        this.#avoidedUntil.delete(peer.vm);
        onSocket(answer.socket);
      });
      running.push(asking);
      await Promise.race([asking, sleep(RELAY_INTERVAL)]);
    }
    await Promise.all(running);
    return outcomes;
  }

  #avoid(vm: VmId): void {
    const now = this.#context.clock.readMonotonic();
    this.#avoidedUntil.set(vm, now + DECLINED_PERIOD);
  }

  #recordUnreached(target: TargetId): void {
    const now = this.#context.clock.readMonotonic();
    this.#table.recordUnreached(target, now);
    this.#reportUnreached(target);
  }

  #recordDirect(target: TargetId): void {
    const now = this.#context.clock.readMonotonic();
    const lostFor = this.#table.recordDirect(target, now);
    if (lostFor === undefined) return;
    this.#pools?.dropPool(target);
    this.#recordCount();
    this.#context.log.info(LogEvent.PathBack, {
      target,
      away_ms: Math.round(lostFor),
      lost: this.#table.lostPaths,
    });
  }

  #recordRelayed(target: TargetId, isHanging: boolean): void {
    const wasSuspect = this.#table.isSuspect;
    const now = this.#context.clock.readMonotonic();
    if (!this.#table.recordRelayed(target, now)) return;
    this.#recordCount();
    const { isSuspect, lostPaths: lost } = this.#table;
    this.#context.log.warn(LogEvent.PathLost, {
      target,
      hanging: isHanging,
      lost,
      suspect: isSuspect,
    });
    // Where new connections hang, kept ones do; where they are refused, kept
    // ones may still work.
    if (!isHanging) return;
    this.#pools?.dropPool(target);
    if (isSuspect && !wasSuspect) this.#pools?.dropAll();
  }

  #recordCount(): void {
    this.#context.metrics.lostPaths.set(this.#table.lostPaths);
  }
}
