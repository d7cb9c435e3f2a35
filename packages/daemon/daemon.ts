/**
 * The daemon: features registered on one kernel, with a face each for callers,
 * operators and peers.
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
import { CallerFace } from "./entry/caller_face.ts";
import { RequestRunner } from "./entry/request_runner.ts";
import { type EventLog, LogEvent } from "../runtime/mod.ts";
import { BillCopies } from "./features/bill_copies.ts";
import { BillLog } from "./features/bill_log.ts";
import { DocumentFollower } from "./features/document_follower.ts";
import { Duties } from "./features/duties.ts";
import { Escrow } from "./features/escrow.ts";
import { HomeForwarding } from "./features/home_forwarding.ts";
import { Membership } from "./features/membership.ts";
import { NewsExchange } from "./features/news_exchange.ts";
import { Traffic } from "./features/traffic.ts";
import {
  createVmAgent,
  type FaceHandler,
  type RunningFace,
  startFace,
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
import { OperatorFace } from "./operators/operator_face.ts";
import { PeerFace } from "./peers/peer_face.ts";

/** What a daemon can be given instead of its defaults. */
export interface DaemonOptions {
  readonly log?: EventLog;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
  readonly context: NodeContext;
  /** Puts a configuration in force; an older version is ignored. */
  applyConfiguration(configuration: FleetConfiguration): void;
  /** A planned stop: finishes every request, returns grants, flushes bills. */
  stop(): Promise<void>;
  /** Resolves when the daemon has stopped, for whatever reason. */
  waitForStop(): Promise<void>;
  /** Ends a planned stop early and logs what is lost. */
  forceStop(): void;
  /** Stops at once, as if the VM had died. */
  kill(): void;
}

const MAX_SOCKETS_PER_PEER = 8;

/** Longest silence of a peer. */
const PEER_TIMEOUT: Millis = 700;

/** Time that others are given to stop sending requests here. */
const LEAVE_PAUSE: Millis = 200;

/** Starts a daemon; resolves when its faces listen. */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<RunningDaemon> {
  const context = createNodeContext(settings, options.log);
  const daemon = new Daemon(context);
  await daemon.start();
  return daemon;
}

/** The features of one VM, wired to each other. */
class Daemon implements RunningDaemon {
  readonly context: NodeContext;
  readonly #client: PeerClient;
  readonly #news: NewsExchange;
  readonly #escrow: Escrow;
  readonly #bills: BillLog;
  readonly #faces: RunningFace[] = [];
  #traffic!: Traffic;
  #membership!: Membership;
  #duties!: Duties;
  #runner!: RequestRunner;
  #forwarding!: HomeForwarding;
  #undo: Undo = () => {};
  #stopping: Promise<void> | undefined;
  readonly #stopped = createSignal();
  #hurry: () => void = () => {};

  constructor(context: NodeContext) {
    this.context = context;
    const { settings } = context;
    this.#client = new PeerClient({
      findKey: () => readPeerKey(settings),
      timeout: PEER_TIMEOUT,
      tls: settings.peers.tls !== undefined,
      agent: createVmAgent(settings.peers, {
        maxSockets: MAX_SOCKETS_PER_PEER,
      }),
    });
    this.#news = new NewsExchange(settings.vm);
    this.#escrow = new Escrow(context);
    this.#bills = new BillLog(context, () => this.#membership.countVms());
  }

  get callerAddress(): string {
    return this.#faces[0]?.address ?? "";
  }

  get operatorAddress(): string {
    return this.#faces[1]?.address ?? "";
  }

  get peerAddress(): string {
    return this.#faces[2]?.address ?? "";
  }

  /** Listens, joins the others and catches up with the document. */
  async start(): Promise<void> {
    const handlers: { face: FaceHandler }[] = [
      { face: refuseAll },
      { face: refuseAll },
      { face: refuseAll },
    ];
    await this.#listen(handlers);
    const follower = this.#compose(handlers);
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
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const { log, kernel, settings } = this.context;
    log.info(LogEvent.DrainStarted, { open: this.#runner.countOpen() });
    kernel.dispatch(START_DRAIN, undefined);
    await this.#membership.leave();
    await new Promise((resolve) => setTimeout(resolve, LEAVE_PAUSE));
    await Promise.race([this.#drain(), this.#waitForHurry()]);
    this.#close();
    await Promise.all(this.#faces.map((face) => face.close()));
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
    this.#hurry();
  }

  kill(): void {
    this.#close();
    for (const face of this.#faces) {
      void face.close();
      face.destroy();
    }
  }

  async #drain(): Promise<void> {
    await this.#runner.waitForIdle();
    await this.#bills.flush();
    await this.#escrow.returnGrants();
    await this.#duties.release();
    await this.#membership.dropHeartbeat();
  }

  /** Resolves at the second signal or when the drain has taken too long. */
  #waitForHurry(): Promise<void> {
    const { drainMillis } = this.context.settings.limits;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.forceStop(), drainMillis);
      timer.unref();
      this.#hurry = () => {
        clearTimeout(timer);
        for (const face of this.#faces) face.destroy();
        resolve();
      };
    });
  }

  #close(): void {
    this.context.kernel.close();
    this.#undo();
    this.context.writer.close();
    this.#client.close();
    this.#forwarding.close();
    this.context.targets.close();
  }

  /** The faces listen first, since others must be told their addresses. */
  async #listen(handlers: readonly { face: FaceHandler }[]): Promise<void> {
    const { settings } = this.context;
    const { limits } = settings;
    const faces = [settings.callers, settings.operators, settings.peers];
    for (const [index, face] of faces.entries()) {
      const handler: FaceHandler = (request, response) =>
        handlers[index]?.face(request, response);
      this.#faces.push(await startFace(face, { limits, handler }));
    }
  }

  #compose(handlers: readonly { face: FaceHandler }[]): DocumentFollower {
    const { context } = this;
    this.#membership = new Membership(context, {
      client: this.#client,
      news: this.#news,
      addresses: {
        peerAddress: this.peerAddress,
        callerAddress: this.callerAddress,
      },
      onReplaced: () => void this.stop(),
      onListed: (listed) => this.#traffic.applyVmList(listed),
    });
    const membership = this.#membership;
    this.#traffic = new Traffic(context, {
      news: this.#news,
      countVms: () => membership.countVms(),
      isProber: (target) => membership.isProber(target),
      pushNews: () => membership.pushNews(),
    });
    const { clock, log, incarnation, settings } = context;
    const life = { vm: settings.vm, incarnation };
    const loans = new Loans({
      clock,
      log,
      vmIncarnation: life,
      budgetField: "event_id",
    }, {
      book: this.#escrow,
      client: this.#client,
      listPeers: () => membership.listPeers(),
    });
    this.#escrow.setLoanSource((event, missing) =>
      loans.borrow(event.id, { missing })
    );
    const copies = this.#createBillCopies();
    this.#runner = new RequestRunner(context, {
      escrow: this.#escrow,
      traffic: this.#traffic,
      bills: this.#bills,
      isLifeOver: (vm, incarnation) => membership.isLifeOver(vm, incarnation),
    });
    const follower = new DocumentFollower(context, {
      client: this.#client,
      news: this.#news,
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
    this.#undo = combineUndo([
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
    this.#connectFaces(handlers, { loans, copies, follower });
    return follower;
  }

  #createBillCopies(): BillCopies {
    const membership = this.#membership;
    const copies = new BillCopies(this.context, {
      client: this.#client,
      choosePeer: () => membership.chooseBackup(),
      isLifeOver: (vm, incarnation) => membership.isLifeOver(vm, incarnation),
      adoptBill: (bill) => void this.#bills.add(bill),
    });
    this.#bills.setCopies(copies);
    return copies;
  }

  #connectFaces(
    handlers: readonly { face: FaceHandler }[],
    features: {
      readonly loans: Loans;
      readonly copies: BillCopies;
      readonly follower: DocumentFollower;
    },
  ): void {
    const [callers, operators, peers] = handlers;
    const callerFace = new CallerFace(this.context, {
      runner: this.#runner,
      forwarding: this.#forwarding,
      readFreshness: () => features.follower.readFreshness(),
      peerKey: readPeerKey(this.context.settings),
    });
    const operatorFace = new OperatorFace(
      this.context,
      createAdminPorts(this.context, {
        follower: features.follower,
        membership: this.#membership,
        traffic: this.#traffic,
      }),
    );
    const peerFace = new PeerFace({
      ...features,
      membership: this.#membership,
      client: this.#client,
    });
    callers!.face = (request, response) => callerFace.handle(request, response);
    operators!.face = (request, response) =>
      operatorFace.handle(request, response);
    peers!.face = createPeerHandler(
      createPeerRouter(peerFace),
      readPeerKey(this.context.settings),
    );
  }
}

/** Returns a promise that is resolved from outside. */
function createSignal(): { promise: Promise<void>; resolve: () => void } {
  let resolve = () => {};
  const promise = new Promise<void>((done) => (resolve = done));
  return { promise, resolve };
}

/** Answers requests that arrive before the daemon is composed. */
const refuseAll: FaceHandler = (_, response) => {
  response.writeHead(503, { "retry-after": "1" });
  response.end();
};
