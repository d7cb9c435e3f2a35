/**
 * The daemon of one entry VM: the features, registered on one kernel, and three
 * HTTP servers, for callers, operators and peers.
 */
import {
  combineUndo,
  type FleetConfiguration,
  type Millis,
  type Undo,
} from "../core/mod.ts";
import { Loans } from "../lending/mod.ts";
import {
  createPeerHandler,
  createPeerRouter,
  PeerClient,
} from "../peer/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { CallerServer } from "./entry/caller_server.ts";
import { RequestRunner } from "./entry/request_runner.ts";
import { type EventLog, LogEvent } from "../runtime/mod.ts";
import { BillCopies } from "./features/bill_copies.ts";
import { BillLog } from "./features/bill_log.ts";
import { DocumentFollower } from "./features/document_follower.ts";
import { Duties } from "./features/duties.ts";
import { Escrow } from "./features/escrow.ts";
import { HomeForwarding } from "./features/home_forwarding.ts";
import { Membership } from "./features/membership.ts";
import { GossipExchange } from "./features/gossip_exchange.ts";
import { Traffic } from "./features/traffic.ts";
import {
  createVmAgent,
  type RequestHandler,
  type RunningServer,
  startServer,
} from "./http_server.ts";
import {
  createNodeContext,
  readPeerKey,
  registerNode,
  SET_CONFIGURATION,
  START_DRAIN,
} from "./node.ts";
import { CONFIGURATION, type NodeContext } from "./node_context.ts";
import { createAdminPorts } from "./operators/admin_ports.ts";
import { OperatorServer } from "./operators/operator_server.ts";
import { PeerServer } from "./peers/peer_server.ts";

/** Options that replace a daemon's defaults. */
export interface DaemonOptions {
  readonly log?: EventLog;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
  readonly context: NodeContext;
  /** Applies a configuration; a version older than the current is ignored. */
  applyConfiguration(configuration: FleetConfiguration): void;
  /** Stops in order: finishes open requests, flushes bills, returns grants. */
  stop(): Promise<void>;
  /** Resolves when a planned stop has finished, whatever started it. */
  waitForStop(): Promise<void>;
  /** Ends a planned stop before it is complete and logs what is lost. */
  forceStop(): void;
  /** Stops at once without any cleanup of shared state, as if the VM had crashed. */
  kill(): void;
}

const MAX_SOCKETS_PER_PEER = 8;

/** Timeout of a call to a peer, and of connecting to it. */
const PEER_TIMEOUT: Millis = 700;

/** Maximum time that a call waits for one of the connections to a peer. */
const PEER_QUEUE_TIMEOUT: Millis = 2_100;

/** Time for other VMs to stop sending requests here after the leave notice. */
const LEAVE_NOTICE_DELAY: Millis = 200;

/** Starts a daemon; resolves when it listens and has joined the other VMs. */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<RunningDaemon> {
  const context = createNodeContext(settings, options.log);
  const daemon = new Daemon(context);
  await daemon.start();
  return daemon;
}

/** Creates the features of one VM, connects them, and starts and stops them. */
class Daemon implements RunningDaemon {
  readonly context: NodeContext;
  readonly #client: PeerClient;
  readonly #gossip: GossipExchange;
  readonly #escrow: Escrow;
  readonly #bills: BillLog;
  readonly #servers: RunningServer[] = [];
  #traffic!: Traffic;
  #membership!: Membership;
  #duties!: Duties;
  #runner!: RequestRunner;
  #forwarding!: HomeForwarding;
  #unregister: Undo = () => {};
  #stopPromise: Promise<void> | undefined;
  readonly #stopped = createDeferred();
  #endDrain: () => void = () => {};

  constructor(context: NodeContext) {
    this.context = context;
    const { settings } = context;
    this.#client = new PeerClient({
      findKey: () => readPeerKey(settings),
      timeout: PEER_TIMEOUT,
      connectTimeout: PEER_TIMEOUT,
      queueTimeout: PEER_QUEUE_TIMEOUT,
      tls: settings.peers.tls !== undefined,
      agent: createVmAgent(settings.peers, {
        maxSockets: MAX_SOCKETS_PER_PEER,
      }),
    });
    this.#gossip = new GossipExchange(settings.vm);
    this.#escrow = new Escrow(context);
    this.#bills = new BillLog(context, () => this.#membership.countVms());
  }

  get callerAddress(): string {
    return this.#servers[0]?.address ?? "";
  }

  get operatorAddress(): string {
    return this.#servers[1]?.address ?? "";
  }

  get peerAddress(): string {
    return this.#servers[2]?.address ?? "";
  }

  /** Starts the servers, joins the other VMs and loads the current document. */
  async start(): Promise<void> {
    const handlers: { handle: RequestHandler }[] = [
      { handle: refuseUntilReady },
      { handle: refuseUntilReady },
      { handle: refuseUntilReady },
    ];
    await this.#listen(handlers);
    const follower = this.#createFeatures(handlers);
    await this.#membership.join();
    await follower.follow();
    this.context.log.info(LogEvent.Started, {
      vm: this.context.settings.vm,
      incarnation: this.context.incarnation,
      callers: this.callerAddress,
      operators: this.operatorAddress,
      peers: this.peerAddress,
      document_version: this.context.kernel.read(CONFIGURATION).version,
    });
  }

  applyConfiguration(configuration: FleetConfiguration): void {
    this.context.kernel.dispatch(SET_CONFIGURATION, configuration);
    this.#traffic.applyConfiguration();
    this.#membership.recordDocument(
      this.context.kernel.read(CONFIGURATION).version,
    );
  }

  stop(): Promise<void> {
    this.#stopPromise ??= this.#stop();
    return this.#stopPromise;
  }

  async #stop(): Promise<void> {
    const { log, kernel, settings } = this.context;
    log.info(LogEvent.DrainStarted, { open: this.#runner.countOpen() });
    kernel.dispatch(START_DRAIN, undefined);
    await this.#membership.leave();
    await new Promise((resolve) => setTimeout(resolve, LEAVE_NOTICE_DELAY));
    await Promise.race([this.#drain(), this.#waitForForcedStop()]);
    this.#close();
    await Promise.all(this.#servers.map((server) => server.close()));
    log.info(LogEvent.Stopped, { vm: settings.vm });
    this.#stopped.resolve();
  }

  waitForStop(): Promise<void> {
    return this.#stopped.promise;
  }

  forceStop(): void {
    this.context.log.warn(LogEvent.DrainHurried, {
      open_requests: this.#runner.countOpen(),
      unwritten_bills: this.#bills.countWaiting(),
      unreturned_grants: this.#escrow.countGrants(),
    });
    this.#endDrain();
  }

  kill(): void {
    this.#close();
    for (const server of this.#servers) {
      void server.close();
      server.destroy();
    }
  }

  async #drain(): Promise<void> {
    await this.#runner.waitForIdle();
    await this.#bills.flush();
    await this.#escrow.returnGrants();
    await this.#duties.release();
    await this.#membership.dropHeartbeat();
  }

  /** Resolves when the stop is forced or the drain exceeds its time limit. */
  #waitForForcedStop(): Promise<void> {
    const { drainMillis } = this.context.settings.limits;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.forceStop(), drainMillis);
      timer.unref();
      this.#endDrain = () => {
        clearTimeout(timer);
        for (const server of this.#servers) server.destroy();
        resolve();
      };
    });
  }

  #close(): void {
    this.context.kernel.close();
    this.#unregister();
    this.context.writer.close();
    this.#client.close();
    this.#forwarding.close();
    this.context.targets.close();
  }

  /**
   * Starts the servers. They listen before the features exist, because the
   * features announce the servers' addresses to the other VMs.
   */
  async #listen(
    handlers: readonly { handle: RequestHandler }[],
  ): Promise<void> {
    const { settings } = this.context;
    const { limits } = settings;
    const listeners = [settings.callers, settings.operators, settings.peers];
    for (const [index, listener] of listeners.entries()) {
      const handler: RequestHandler = (request, response) =>
        handlers[index]?.handle(request, response);
      this.#servers.push(await startServer(listener, { limits, handler }));
    }
  }

  #createFeatures(
    handlers: readonly { handle: RequestHandler }[],
  ): DocumentFollower {
    const { context } = this;
    this.#membership = new Membership(context, {
      client: this.#client,
      gossip: this.#gossip,
      addresses: {
        peerAddress: this.peerAddress,
        callerAddress: this.callerAddress,
      },
      onReplaced: () => void this.stop(),
      onListed: (listed) => this.#traffic.applyVmList(listed),
    });
    const membership = this.#membership;
    this.#traffic = new Traffic(context, {
      gossip: this.#gossip,
      countVms: () => membership.countVms(),
      isProber: (target) => membership.isProber(target),
      pushGossip: () => membership.pushGossip(),
    });
    const { clock, log, incarnation, settings } = context;
    const vmIncarnation = { vm: settings.vm, incarnation };
    const loans = new Loans({
      clock,
      log,
      vmIncarnation: vmIncarnation,
      budgetField: "event_id",
    }, {
      book: this.#escrow,
      client: this.#client,
      listPeers: () => membership.listPeers(),
      listLenders: () => membership.listPeers(),
    });
    this.#escrow.setLoanSource((event, missing) =>
      loans.borrow(event.id, { missing })
    );
    const copies = this.#createBillCopies();
    this.#runner = new RequestRunner(context, {
      escrow: this.#escrow,
      traffic: this.#traffic,
      bills: this.#bills,
      hasIncarnationEnded: (vm, incarnation) =>
        membership.hasIncarnationEnded(vm, incarnation),
    });
    const follower = new DocumentFollower(context, {
      client: this.#client,
      gossip: this.#gossip,
      findAddress: (vm) => membership.findMember(vm)?.peerAddress,
      onChange: (state) => this.applyConfiguration(state.configuration),
    });
    this.#forwarding = new HomeForwarding(context, {
      peerKey: readPeerKey(context.settings),
      listHomes: (event) => membership.listHomes(event),
      findCallerAddress: (vm) => membership.findMember(vm)?.callerAddress,
    });
    const duties = new Duties(context, this.#traffic);
    this.#duties = duties;
    this.#unregister = combineUndo([
      registerNode(context),
      duties.register(),
      membership.register(),
      this.#escrow.register(),
      this.#bills.register(),
      copies.register(),
      this.#traffic.register(),
      this.#runner.register(),
      follower.register(),
    ]);
    this.#connectServers(handlers, { loans, copies, follower });
    return follower;
  }

  #createBillCopies(): BillCopies {
    const membership = this.#membership;
    const copies = new BillCopies(this.context, {
      client: this.#client,
      choosePeer: () => membership.chooseBackup(),
      hasIncarnationEnded: (vm, incarnation) =>
        membership.hasIncarnationEnded(vm, incarnation),
      adoptBill: (bill) => void this.#bills.add(bill),
    });
    this.#bills.setCopies(copies);
    return copies;
  }

  #connectServers(
    handlers: readonly { handle: RequestHandler }[],
    features: {
      readonly loans: Loans;
      readonly copies: BillCopies;
      readonly follower: DocumentFollower;
    },
  ): void {
    const [callers, operators, peers] = handlers;
    const callerServer = new CallerServer(this.context, {
      runner: this.#runner,
      forwarding: this.#forwarding,
      readFreshness: () => features.follower.readFreshness(),
      peerKey: readPeerKey(this.context.settings),
    });
    const operatorServer = new OperatorServer(
      this.context,
      createAdminPorts(this.context, {
        follower: features.follower,
        membership: this.#membership,
        traffic: this.#traffic,
      }),
    );
    const peerServer = new PeerServer({
      ...features,
      membership: this.#membership,
      client: this.#client,
    });
    callers!.handle = (request, response) =>
      callerServer.handle(request, response);
    operators!.handle = (request, response) =>
      operatorServer.handle(request, response);
    peers!.handle = createPeerHandler(
      createPeerRouter(peerServer),
      readPeerKey(this.context.settings),
    );
  }
}

/** Returns a promise together with the function that resolves it. */
function createDeferred(): { promise: Promise<void>; resolve: () => void } {
  let resolve = () => {};
  const promise = new Promise<void>((done) => (resolve = done));
  return { promise, resolve };
}

/** Refuses requests that arrive before the features have been created. */
const refuseUntilReady: RequestHandler = (_, response) => {
  response.writeHead(503, { "retry-after": "1" });
  response.end();
};
