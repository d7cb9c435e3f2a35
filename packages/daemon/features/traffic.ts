/**
 * This VM's traffic to targets: admission of requests, choice of a target, open
 * attempts, retries, quarantine of request bodies, and load reports.
 */
import type { Either } from "purify-ts";
import {
  type BodyDigest,
  combineUndo,
  type CommandType,
  createCommand,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  type Refusal,
  type ServiceId,
  type SliceType,
  type TargetConfig,
  type TargetId,
  type Undo,
} from "../../core/mod.ts";
import {
  type AttemptEnd,
  type ListedVm,
  ListedVmState,
  type TargetLoadReport,
} from "../../ports/mod.ts";
import {
  Admission,
  applyLeavingNotices,
  applyListedTargets,
  applyReport,
  applyReports,
  applyTargets,
  type AttemptFinish,
  chooseTarget,
  computeMaxLoad,
  createRoutingState,
  type CustomerDemand,
  decideRetry,
  DemandTable,
  describeRouting,
  type FailedAttempt,
  isLeaving,
  type LeavingNotice,
  listEntriesToSend,
  listLeavingNotices,
  listReports,
  type PeerReport,
  Quarantine,
  type QuarantineEntry,
  recordAttemptEnd,
  recordAttemptStart,
  recordPrefillEnd,
  recordProbe,
  type ReportedTargetState,
  RetryBudgets,
  type RetryDecision,
  type RoutedRequest,
  type RoutingState,
  type Ticket,
} from "../../routing/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  startOnDemand,
  startPeriodic,
} from "../../runtime/mod.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";
import type { GossipExchange } from "./gossip_exchange.ts";

type RoutingChange = (state: RoutingState) => RoutingState;

const CHANGE_ROUTING: CommandType<RoutingChange, void> = createCommand(
  "routing.change",
);

/** Timeout of a load probe. */
const PROBE_TIMEOUT: Millis = 1_000;

/** Time between two checks of the queued requests, which also expire them. */
const EXPIRY_INTERVAL: Millis = 50;

/** A request to queue, with callbacks that start or refuse it. */
export interface QueuedRequest {
  readonly ticket: Ticket;
  readonly routed: RoutedRequest;
  /** Called once, after the attempt at the target was counted as started. */
  start(target: TargetConfig): void;
  /** Called once instead of `start` when the request cannot be served. */
  refuse(refusal: Refusal): void;
}

/** The attempt that received the first part of an answer. */
export interface AttemptReference {
  readonly digest: BodyDigest;
  readonly target: TargetId;
}

/** What the feature uses of other features. */
export interface TrafficPorts {
  readonly gossip: GossipExchange;
  /** Returns the number of live entry VMs, this one included. */
  readonly countVms: () => number;
  /** Returns whether this VM probes a target for its load. */
  readonly isProber: (target: TargetConfig) => boolean;
  /** Sends gossip to the peers at once; resolves within a short time limit. */
  readonly pushGossip: () => Promise<void>;
}

/** Admits requests, assigns them to targets and tracks their attempts. */
export class Traffic {
  readonly #context: NodeContext;
  readonly #ports: TrafficPorts;
  readonly #slice: SliceType<RoutingState>;
  readonly #admission = new Admission();
  readonly #demand = new DemandTable();
  readonly #quarantine = new Quarantine();
  readonly #retryBudgets = new RetryBudgets();
  readonly #queued = new Map<string, QueuedRequest>();
  #reportRound = 0;
  #quarantineRound = 0;
  #queueExpiry: BackgroundProcess | undefined;

  constructor(context: NodeContext, ports: TrafficPorts) {
    this.#context = context;
    this.#ports = ports;
    const { region } = context.settings;
    this.#slice = {
      name: "routing",
      createInitial: () => createRoutingState({ region }),
    };
  }

  /**
   * Registers the command, the state dump and the gossip parts, and starts the
   * periodic work.
   */
  register(): Undo {
    const { kernel } = this.#context;
    return combineUndo([
      kernel.registerCommand(
        CHANGE_ROUTING,
        (change, update) =>
          update.write(this.#slice, change(update.read(this.#slice))),
      ),
      kernel.registerDump("routing", () => this.#describe()),
      this.#registerGossip(),
      ...this.#startProcesses(),
    ]);
  }

  /** Applies the targets and customer limits of the current configuration. */
  applyConfiguration(): void {
    const configuration = this.#context.kernel.read(CONFIGURATION);
    const now = this.#readTime();
    const vms = this.#ports.countVms();
    this.#change((state) => applyTargets(state, { configuration, now, vms }));
    this.#applyCustomerLimits();
  }

  /** Returns whether a body is quarantined because it has crashed targets. */
  isQuarantined(digest: string): boolean {
    return this.#quarantine.isQuarantined(digest, this.#readTime());
  }

  /** Returns a target's last reported state, or undefined without a report. */
  readReportedState(target: TargetId): ReportedTargetState | undefined {
    const known = this.#read().targets.get(target);
    if (known?.report === undefined) return undefined;
    const { models } = known.report;
    const leaving = isLeaving(this.#read(), target, this.#readTime());
    return { models, adapters: [], leaving };
  }

  /** Returns the quarantine's entries. */
  listQuarantine(): QuarantineEntry[] {
    return this.#quarantine.listEntries({ now: this.#readTime() });
  }

  /**
   * Releases a digest from quarantine on an operator's request, and gossips that
   * to the peers at once.
   */
  async releaseQuarantine(digest: string): Promise<void> {
    this.#quarantine.release(digest, this.#readTime());
    await this.#ports.pushGossip();
  }

  /**
   * Applies the platform's VM list: targets that it marks as leaving get no new
   * requests.
   */
  applyVmList(listed: readonly ListedVm[]): void {
    const { kernel } = this.#context;
    const leaving = new Set(
      listed.filter((vm) => vm.state === ListedVmState.Leaving)
        .map((vm) => vm.id),
    );
    const known = [...kernel.read(CONFIGURATION).services.values()]
      .flatMap((service) => service.targets)
      .map((target) => target.id);
    const leavingTargets = new Set(known.filter((id) => leaving.has(id)));
    this.#change((state) => applyListedTargets(state, leavingTargets));
  }

  /** Queues a request, which is later started or refused by its callbacks. */
  admit(request: QueuedRequest): void {
    const { ticket } = request;
    const { random } = this.#context;
    const now = this.#readTime();
    this.#demand.recordRequest(ticket.customer, now);
    this.#admission.admit(ticket, { now, random }).caseOf({
      Left: (refusal) => request.refuse(refusal),
      Right: ({ displaced }) => {
        this.#queued.set(ticket.id, request);
        for (const each of displaced) this.#refuseQueued(each);
        this.#startReadyRequests(ticket.service);
        if (this.#queued.size > 0) this.#queueExpiry?.wake();
      },
    });
  }

  /** Records the end of a request passed to `admit`, started or not. */
  finish(
    ticket: Ticket,
    usage: { readonly tokens: number; readonly complete: boolean },
  ): void {
    this.#queued.delete(ticket.id);
    this.#admission.finish(ticket.id, { now: this.#readTime(), ...usage });
    this.#startReadyRequests(ticket.service);
  }

  /** Chooses a target for an attempt after the first. */
  choose(request: RoutedRequest): Either<Refusal, TargetConfig> {
    const { kernel, random } = this.#context;
    const now = this.#readTime();
    const avoided = this.#quarantine.listSuspectTargets(request.digest, now);
    return chooseTarget(kernel.read(this.#slice), {
      request: { ...request, avoided },
      now,
      random,
    });
  }

  /** Records the start of an attempt. */
  startAttempt(target: TargetId, request: RoutedRequest): void {
    const now = this.#readTime();
    const { prefixes = [], promptTokens = 0, expectedBytes = 0 } = request;
    const start = { now, prefixes, promptTokens, expectedBytes };
    this.#change((state) => recordAttemptStart(state, target, start));
    this.#quarantine.recordStart(request.digest, target);
  }

  /**
   * Records the first part of an answer: its prompt counts as prefilled, so
   * that other prompts may be sent.
   */
  recordFirstChunk(ticket: Ticket, attempt: AttemptReference): void {
    const { digest, target } = attempt;
    const tokens = ticket.promptTokens ?? 0;
    this.#quarantine.recordProgress(digest, target);
    this.#change((state) => recordPrefillEnd(state, target, tokens));
    this.#admission.recordFirstToken(ticket.id, this.#readTime());
    this.#startReadyRequests(ticket.service);
  }

  /** Records the end of an attempt whose target is not lost. */
  endAttempt(
    target: TargetId,
    input: {
      readonly request: RoutedRequest;
      readonly end: AttemptEnd;
      readonly complete: boolean;
      readonly bytes: number;
      /** Whether only the path failed: the target answers a new connection. */
      readonly pathDead: boolean;
      /** Whether no part of an answer had been received. */
      readonly beforeFirstChunk: boolean;
    },
  ): void {
    const { request, complete } = input;
    this.#recordEnd(target, {
      now: this.#readTime(),
      end: input.end,
      bytes: input.bytes,
      expectedBytes: request.expectedBytes ?? 0,
      pathDead: input.pathDead,
      unreadTokens: input.beforeFirstChunk ? request.promptTokens ?? 0 : 0,
    });
    this.#quarantine.recordEnd(request.digest, { target, complete });
  }

  /**
   * Records the end of an attempt whose target was lost. If that changes the
   * quarantine, gossip is sent to the peers before this resolves.
   */
  async endCrashedAttempt(
    target: TargetId,
    input: {
      readonly request: RoutedRequest;
      readonly end: AttemptEnd;
      readonly beforeFirstChunk: boolean;
    },
  ): Promise<void> {
    const now = this.#readTime();
    const { request, end, beforeFirstChunk } = input;
    const unreadTokens = beforeFirstChunk ? request.promptTokens ?? 0 : 0;
    this.#recordEnd(target, { now, end, unreadTokens });
    const { changed } = this.#quarantine.recordCrash(target, now);
    if (changed.length > 0) await this.#ports.pushGossip();
  }

  /** Counts a first attempt, which adds `ratio` to the retry budget. */
  recordFirstAttempt(service: ServiceId, ratio: number): void {
    this.#retryBudgets.recordFirstAttempt(service, ratio);
  }

  /** Decides what follows a failed attempt, and counts a retry at once. */
  decideRetry(failed: FailedAttempt): RetryDecision {
    const { random } = this.#context;
    const decision = decideRetry(failed, {
      budgets: this.#retryBudgets,
      now: this.#readTime(),
      random,
    });
    if ("extra" in decision) {
      this.#retryBudgets.recordExtraAttempt(failed.service, decision.extra);
    }
    return decision;
  }

  /**
   * Requests a target's load report over a new connection, and records the
   * report or that the target did not answer.
   */
  async probe(target: TargetConfig): Promise<TargetLoadReport | undefined> {
    const report = await this.#context.targets.probe(target, PROBE_TIMEOUT);
    const now = this.#readTime();
    if (report === undefined) {
      const answered = false;
      this.#change((state) => recordProbe(state, target.id, { answered, now }));
      return undefined;
    }
    this.#change((state) => applyReport(state, target.id, { report, now }));
    this.#startReadyRequests(target.service);
    return report;
  }

  #readTime(): MonotonicTime {
    return this.#context.clock.readMonotonic();
  }

  #change(change: RoutingChange): void {
    this.#context.kernel.dispatch(CHANGE_ROUTING, change);
  }

  #recordEnd(target: TargetId, finish: AttemptFinish): void {
    this.#change((state) => recordAttemptEnd(state, target, finish));
  }

  #startReadyRequests(service: ServiceId): void {
    const now = this.#readTime();
    this.#admission.takeReady(service, {
      now,
      tryStart: (ticket) => this.#tryStart(ticket, now),
    });
  }

  /** Returns false when no target has capacity for the ticket. */
  #tryStart(ticket: Ticket, now: MonotonicTime): boolean {
    const queued = this.#queued.get(ticket.id);
    if (queued === undefined) return true;
    const { kernel, random } = this.#context;
    const { digest } = queued.routed;
    const avoided = this.#quarantine.listSuspectTargets(digest, now);
    const request = { ...queued.routed, avoided };
    const maxLoad = computeMaxLoad(ticket.priority);
    return chooseTarget(kernel.read(this.#slice), {
      request,
      now,
      random,
      mostLoad: maxLoad,
    }).caseOf({
      // All targets are full, or there is none. One may become usable later; the
      // request's deadline bounds the wait.
      Left: () => false,
      Right: (target) => {
        this.#queued.delete(ticket.id);
        this.startAttempt(target.id, request);
        queued.start(target);
        return true;
      },
    });
  }

  #refuseQueued(
    refused: { readonly ticket: Ticket; readonly refusal: Refusal },
  ): void {
    const queued = this.#queued.get(refused.ticket.id);
    this.#queued.delete(refused.ticket.id);
    queued?.refuse(refused.refusal);
  }

  #applyCustomerLimits(): void {
    const { customers } = this.#context.kernel.read(CONFIGURATION);
    const vms = this.#ports.countVms();
    this.#admission.changeCustomers(customers.values(), {
      now: this.#readTime(),
      computeShare: (customer) => this.#demand.computeShare(customer, vms),
    });
  }

  #registerGossip(): Undo {
    const { gossip } = this.#ports;
    return combineUndo([
      gossip.register("demand", {
        create: () => toJson(this.#demand.recordAnnouncement(this.#readTime())),
        apply: (from, value) =>
          this.#demand.applyAnnouncement(
            from,
            value as unknown as CustomerDemand[],
          ),
      }),
      gossip.register("leaving", {
        create: () =>
          toJson(listLeavingNotices(this.#read(), this.#readTime())),
        apply: (_, value) => {
          const notices = value as unknown as LeavingNotice[];
          const now = this.#readTime();
          this.#change((state) =>
            applyLeavingNotices(state, { notices: notices, now })
          );
        },
      }),
      gossip.register("reports", {
        create: () => toJson(this.#listOwnReports()),
        apply: (_, value) => {
          const reports = value as unknown as PeerReport[];
          const now = this.#readTime();
          this.#change((state) => applyReports(state, { reports, now }));
        },
      }),
      gossip.register("quarantine", {
        create: () =>
          toJson(
            listEntriesToSend(this.listQuarantine(), this.#quarantineRound++),
          ),
        apply: (_, value) =>
          void this.#quarantine.applyEntries(
            value as unknown as QuarantineEntry[],
            this.#readTime(),
          ),
      }),
    ]);
  }

  #startProcesses(): Undo[] {
    const { random, log, settings } = this.#context;
    const { loadReportMillis, gossipMillis } = settings.intervals;
    const reportError = createErrorReporter(log, "traffic");
    const start = (interval: Millis, run: () => Promise<void> | void) =>
      startPeriodic({
        interval,
        random,
        run: async () => await run(),
        reportError,
      }).stop;
    this.#queueExpiry = startOnDemand({
      computeWait: () => EXPIRY_INTERVAL,
      run: () => Promise.resolve(this.#expireQueued()),
      reportError,
    });
    return [
      this.#queueExpiry.stop,
      start(loadReportMillis, () => this.#readReports()),
      start(gossipMillis, () => {
        this.#applyCustomerLimits();
        this.#quarantine.expire(this.#readTime());
      }),
    ];
  }

  /** Refuses expired requests and starts ready ones; true while any wait. */
  #expireQueued(): boolean {
    const { random } = this.#context;
    const now = this.#readTime();
    for (const each of this.#admission.expire({ now, random })) {
      this.#refuseQueued(each);
    }
    for (const { service, queued } of this.#admission.listLoads()) {
      if (queued > 0) this.#startReadyRequests(service);
    }
    return this.#queued.size > 0;
  }

  async #readReports(): Promise<void> {
    const targets = this.#listProbedTargets();
    await Promise.all(targets.map((target) => this.probe(target)));
  }

  /** Returns the targets that this VM probes. */
  #listProbedTargets(): TargetConfig[] {
    const { services } = this.#context.kernel.read(CONFIGURATION);
    return [...services.values()]
      .flatMap((service) => service.targets)
      .filter((target) => this.#ports.isProber(target));
  }

  #listOwnReports(): PeerReport[] {
    return listReports(this.#read(), {
      ids: this.#listProbedTargets().map((target) => target.id),
      round: this.#reportRound++,
      now: this.#readTime(),
    });
  }

  #read(): RoutingState {
    return this.#context.kernel.read(this.#slice);
  }

  #describe(): unknown {
    const now = this.#readTime();
    return {
      ...describeRouting(this.#read(), now),
      admission: this.#admission.listLoads(),
      quarantine: this.listQuarantine(),
    };
  }
}

function toJson(value: unknown): JsonValue {
  return value as JsonValue;
}
