/**
 * The gateway process of one entry VM: it follows the route configuration and
 * the list of targets, keeps customers' token budgets and forwards requests.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Clock,
  combineUndo,
  createSystemClock,
  Kernel,
  type Millis,
  type MonotonicTime,
  type Undo,
} from "../core/mod.ts";
import { computeIncarnation } from "../membership/mod.ts";
import { ConnectionPools, type StartConnection } from "../ports/mod.ts";
import { RetryBudgets } from "../routing/mod.ts";
import {
  createErrorReporter,
  createEventLog,
  type EventLog,
  LogEvent,
  registerIdleClose,
  SignalWatch,
  startPeriodic,
} from "../runtime/mod.ts";
import {
  computeSettingsDigest,
  type GatewaySettings,
  mergeRunningSettings,
} from "../settings/mod.ts";
import type { Dialect } from "./dialect.ts";
import { AttemptRules } from "./entry/attempt_rules.ts";
import { CallRunner } from "./entry/call_runner.ts";
import type { CallerConnections } from "./entry/caller_connections.ts";
import { CallerServer } from "./entry/caller_server.ts";
import { createCallerConnections } from "./entry/connection_reports.ts";
import { computeDrainTimes } from "./entry/drain_times.ts";
import { computeMachineLimits } from "./entry/machine_limits.ts";
import {
  createOperatorServer,
  createReadinessServer,
} from "./entry/operator_servers.ts";
import { ConfigurationFollower } from "./features/configuration/configuration_follower.ts";
import { CrashDetector } from "./features/crashes/crash_detector.ts";
import { CrashReports } from "./features/crashes/crash_reports.ts";
import { CustomerBudgets } from "./features/budgets/customer_budgets.ts";
import { ConnectionRelay } from "./features/paths/connection_relay.ts";
import { TargetProbes } from "./features/paths/target_probes.ts";
import { TargetPaths } from "./features/paths/target_paths.ts";
import { PeerAccess } from "./features/peers/peer_access.ts";
import { EvacuationFollower } from "./features/evacuations/evacuation_follower.ts";
import { HomeRegionWatch } from "./features/home_region_watch.ts";
import { LimitReports } from "./features/limit_reports.ts";
import { ReleaseRows } from "./features/streams/release_rows.ts";
import { StreamOrigins } from "./features/streams/stream_origins.ts";
import { StreamRows } from "./features/streams/stream_rows.ts";
import { TargetRegistry } from "./features/target_registry.ts";
import type { GatewayContext } from "./gateway_context.ts";
import {
  createGatewayMetrics,
  type GatewayMetrics,
} from "./gateway_metrics.ts";

/** Options of a {@link Gateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly dialect: Dialect;
  /** A log at the level of the settings is created by default. */
  readonly log?: EventLog;
  /** Created by default; the dialect may record its calls in them. */
  readonly metrics?: GatewayMetrics;
  /** Starts direct connections to targets; over TCP by default. */
  readonly connect?: StartConnection;
  /** That of the process by default. */
  readonly clock?: Clock;
}

/** Number of random bytes in the identifier of an incarnation. */
const INCARNATION_SALT_BYTES = 4;

/**
 * Minimum time from the stop signal until the listener closes. The load
 * balancer checks readiness once a second and stops sending new connections
 * after two failed checks.
 */
const MIN_LISTEN_TIME: Millis = 3_000;

/**
 * Time without a new connection after which the load balancer is assumed to use
 * other VMs. If it has no others, callers keep connecting to this one.
 */
const QUIET_PERIOD: Millis = 1_000;

/** Maximum time for the answers of the requests that a stop has ended. */
const END_REQUESTS_TIME: Millis = 100;

/**
 * Maximum time for returning tokens at a stop that has used up its time for open
 * requests, and for flushing the log.
 */
const RETURN_TIME: Millis = 350;
const FLUSH_TIME: Millis = 350;

/**
 * The same at a stop that has time left: the exchange in progress and the last
 * one may each take up to the time limit of a call to the store.
 */
const MAX_RETURN_TIME: Millis = 2_000;

/** Part of the stop timeout that is reserved for these. */
const SHUTDOWN_RESERVE = END_REQUESTS_TIME + RETURN_TIME + FLUSH_TIME;

/** Interval between two checks whether all requests have ended. */
const DRAIN_POLL_INTERVAL: Millis = 100;

/** Interval between two checks whether these answers were sent. */
const END_POLL_INTERVAL: Millis = 10;

/**
 * Minimum number of VMs that are assumed to share the targets and the retry
 * budget, also while the number is not yet known.
 */
const MIN_VM_COUNT = 6;

/** Interval between two log lines of the calls to the store. */
const TRAFFIC_LOG_INTERVAL: Millis = 2_000;

/** A gateway that can be started and stopped once. */
export class Gateway {
  readonly #context: GatewayContext;
  readonly #configuration: ConfigurationFollower;
  readonly #targets: TargetRegistry;
  readonly #evacuations: EvacuationFollower;
  readonly #peers: PeerAccess;
  readonly #budgets: CustomerBudgets;
  readonly #crashReports: CrashReports;
  readonly #limitReports: LimitReports;
  readonly #streams: StreamOrigins;
  readonly #callers: CallerServer;
  readonly #connections: CallerConnections;
  readonly #pools: ConnectionPools;
  readonly #paths: TargetPaths;
  readonly #relay: ConnectionRelay;
  readonly #retries = new RetryBudgets();
  readonly #servers: Server[] = [];
  readonly #signals: SignalWatch;
  #settingsAppliedAt: MonotonicTime = 0;
  #undo: Undo = () => {};
  #stopping: Promise<void> | undefined;

  constructor(options: GatewayOptions) {
    this.#context = createGatewayContext(options);
    const context = this.#context;
    this.#signals = new SignalWatch(() => context.clock.readMonotonic());
    this.#peers = new PeerAccess(context);
    this.#configuration = new ConfigurationFollower(context, this.#peers);
    this.#paths = new TargetPaths(context, {
      peers: this.#peers.list,
      connect: options.connect,
      findAddress: (target) => this.#targets.find(target),
      reportUnreached: (target) => this.#targets.recordUnreached(target, false),
    });
    this.#pools = new ConnectionPools(context.clock, {
      connect: (target, input) => this.#paths.connect(target, input),
      mayRelay: (vm, regions) => this.#paths.mayRelay(vm, regions),
      isLeaving: (vm) => this.#peers.list.isLeaving(vm),
    });
    this.#peers.list.addLeavingListener((vm) => this.#pools.dropRelayed(vm));
    this.#paths.setPools(this.#pools);
    this.#targets = new TargetRegistry(context, {
      findVmOrder: () => this.#peers.list.findOrder(),
      findTurnGroup: () => this.#peers.list.findTurnGroup(),
    });
    this.#evacuations = new EvacuationFollower(context, this.#targets);
    this.#evacuations.addEvacuationEndListener((dataCentre) =>
      this.#targets.recordColdDataCentre(dataCentre)
    );
    this.#relay = new ConnectionRelay(context, {
      key: this.#peers.list.key,
      findTargetAt: (address) => this.#targets.findAt(address),
      isPathLost: (target) => this.#paths.isLost(target),
    });
    this.#budgets = new CustomerBudgets(context, this.#peers);
    this.#crashReports = new CrashReports(context, {
      countVms: () => this.#budgets.countVms(),
    });
    this.#limitReports = new LimitReports(context, {
      targets: this.#targets,
      countVms: () => this.#budgets.countVms(),
    });
    const probes = new TargetProbes(this.#paths);
    const crashDetector = new CrashDetector(context, {
      reports: this.#crashReports,
      probes,
      reportRefused: (target) => this.#targets.recordUnreached(target, true),
    });
    this.#connections = createCallerConnections(context);
    const countVms = () => this.#budgets.countVms();
    this.#streams = new StreamOrigins(context, {
      peers: this.#peers,
      targets: this.#targets,
      rows: new StreamRows(context, { countVms }),
      releases: new ReleaseRows(context, {
        targets: this.#targets,
        listServices: () => this.#configuration.listResumableServices(),
        countVms,
      }),
    });
    const homeRegions = new HomeRegionWatch(context);
    this.#callers = new CallerServer({
      context,
      homeRegions,
      evacuations: this.#evacuations,
      configuration: this.#configuration,
      budgets: this.#budgets,
      crashReports: this.#crashReports,
      streams: this.#streams,
      runner: new CallRunner({
        context,
        targets: this.#targets,
        rules: new AttemptRules(this.#configuration, this.#evacuations),
        pools: this.#pools,
        retries: this.#retries,
        crashReports: this.#crashReports,
        crashDetector,
        streams: this.#streams,
        memory: this.#connections.memory,
        probes,
      }),
      connections: this.#connections,
    });
    this.#configuration.addListener((configuration) => {
      this.#callers.changeLimits(configuration.limits);
      homeRegions.applyConfiguration(configuration);
      this.#budgets.applyConfiguration(configuration);
      this.#targets.applyServices(configuration.services);
    });
    this.#targets.addRemovalListener((target) => {
      this.#pools.dropPool(target);
      this.#paths.remove(target);
    });
    this.#targets.addListingListener((entry) =>
      crashDetector.recordListed(entry)
    );
    this.#targets.addLimitListener((target, notice) =>
      this.#limitReports.recordTold(target, notice)
    );
    this.#budgets.setVmCountListener((count) => this.#changeVmCount(count));
    this.#changeVmCount(MIN_VM_COUNT);
    this.#recordSettings();
  }

  /** Port of the caller server; chosen by the system if the settings say 0. */
  get callerPort(): number {
    return this.#callers.readPort();
  }

  /** The event log of the process. */
  get log(): EventLog {
    return this.#context.log;
  }

  /**
   * Whether this VM should get new connections: it has loaded the configuration
   * and the targets of its routes, knows of no newer configuration, has read the
   * evacuations in time, and is not stopping.
   */
  get isReady(): boolean {
    const routes = this.#configuration.read()?.configuration.routes;
    return this.#stopping === undefined && routes !== undefined &&
      !this.#configuration.isOutdated && !this.#evacuations.isOutdated &&
      this.#targets.isLoadedFor(routes);
  }

  /**
   * Starts the servers and begins to follow the configuration, the targets and
   * the budgets. Rejects if an address can't be bound.
   */
  async start(): Promise<void> {
    const { settings, log, incarnation, vm } = this.#context;
    const callers = parseAddress(settings.callers);
    await this.#callers.listen(callers);
    const options = { context: this.#context, isReady: () => this.isReady };
    const readiness = await this.#listen(
      createReadinessServer(options),
      settings.readiness,
    );
    if (settings.operators !== undefined) {
      await this.#listen(createOperatorServer(options), settings.operators);
    }
    if (settings.peers !== undefined) await this.#listenToPeers(settings.peers);
    this.#undo = combineUndo([
      this.#configuration.register(),
      this.#targets.register(),
      this.#evacuations.register(),
      this.#paths.register(),
      this.#peers.register(),
      this.#budgets.register(),
      this.#crashReports.register(),
      this.#limitReports.register(),
      this.#streams.register(),
      this.#connections.start(),
      this.#signals.start(),
      this.#startTrafficLog(),
    ]);
    log.info(LogEvent.Started, {
      vm,
      incarnation,
      data_centre: settings.dataCentre,
      callers: `${callers.host}:${this.callerPort}`,
      readiness,
      settings: computeSettingsDigest(settings),
    });
  }

  /**
   * Stops gracefully: reports not ready, waits within the stop timeout until
   * open requests, also those relayed for peers, have ended and answers are
   * sent, returns unspent tokens and closes the servers. Resolves when the
   * process may exit. Must be called by the handler of the stop signal, whose
   * earliest time counts.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#drain();
    return this.#stopping;
  }

  /** Stops at once, returning no tokens, like a killed process; for tests. */
  kill(): void {
    this.#context.kernel.close();
    this.#undo();
    this.#budgets.close();
    this.#context.dialect.close();
    this.#relay.close();
    this.#callers.destroy();
    for (const server of this.#servers) server.close();
  }

  /** Returns the state dump of all components, for operators. */
  readDump(): Record<string, unknown> {
    return this.#context.kernel.readDump();
  }

  /**
   * Applies changed settings while the gateway runs. Those that need a restart
   * keep their values and are named in the log.
   */
  changeSettings(changed: GatewaySettings): void {
    const context = this.#context;
    const merged = mergeRunningSettings(context.settings, changed);
    const { settings } = merged;
    const digestBefore = computeSettingsDigest(context.settings);
    const appliedAt = this.#settingsAppliedAt;
    context.settings = settings;
    context.region = settings.regions[settings.dataCentre];
    context.log.changeLevel?.(settings.logLevel);
    this.#targets.applyRegions();
    this.#targets.applyColdSettings();
    this.#evacuations.applySettings();
    this.#connections.changeMachine(computeMachineLimits(settings.machine));
    this.#peers.list.announceAgain();
    this.#changeVmCount(this.#budgets.countVms());
    this.#recordSettings();
    context.log.info(LogEvent.SettingsReloaded, {
      digest: computeSettingsDigest(settings),
      before: digestBefore,
      before_ms: Math.round(context.clock.readMonotonic() - appliedAt),
      changed: merged.changed.join(","),
    });
    if (merged.refused.length === 0) return;
    context.log.error(LogEvent.SettingsRefused, {
      reason: "these settings need a restart",
      settings: merged.refused.join(","),
    });
  }

  #startTrafficLog(): Undo {
    const { log, metrics, random } = this.#context;
    return startPeriodic({
      interval: TRAFFIC_LOG_INTERVAL,
      random,
      run: () => {
        const store = metrics.storeTraffic.take();
        if (store !== undefined) log.info(LogEvent.StoreTraffic, store);
        const peers = this.#configuration.peers.takeTraffic();
        if (peers !== undefined) log.info(LogEvent.ConfigurationTraffic, peers);
        return Promise.resolve();
      },
      reportError: createErrorReporter(
        log,
        "traffic of the store and of peers",
      ),
    }).stop;
  }

  #recordSettings(): void {
    const { clock, metrics, settings } = this.#context;
    this.#settingsAppliedAt = clock.readMonotonic();
    metrics.settingsInfo.reset();
    metrics.settingsInfo.set({ digest: computeSettingsDigest(settings) }, 1);
    metrics.settingsAppliedAt.setToCurrentTime();
  }

  async #drain(): Promise<void> {
    const { clock, log, settings } = this.#context;
    const startedAt = clock.readMonotonic();
    const signalledAt = this.#signals.lastPollAt;
    log.info(LogEvent.DrainStarted, {
      open: this.#callers.openRequests,
      max_signal_wait_ms: Math.round(startedAt - signalledAt),
    });
    const times = computeDrainTimes({
      now: startedAt,
      signalledAt,
      stopTimeout: settings.stopMillis,
      reserve: SHUTDOWN_RESERVE,
    });
    const { endsAt: end } = times;
    this.#callers.startDrain(times);
    this.#budgets.startDrain();
    this.#relay.startDrain();
    void this.#peers.list.announceLeaving();
    await sleep(MIN_LISTEN_TIME);
    for (;;) {
      const now = clock.readMonotonic();
      const isQuiet = now - this.#callers.lastConnectionAt > QUIET_PERIOD;
      // Repeated, since it also closes connections that have become idle.
      if (isQuiet) this.#callers.stopListening();
      const isIdle = this.#callers.openRequests === 0 &&
        this.#callers.unsentAnswers === 0 && this.#relay.countInUse() === 0;
      if ((isQuiet && isIdle) || now >= end) break;
      await sleep(DRAIN_POLL_INTERVAL);
    }
    await this.#endRequests();
    this.#callers.stopListening();
    const timeLeft = end - clock.readMonotonic();
    await Promise.race([
      this.#budgets.returnAll(),
      sleep(Math.min(MAX_RETURN_TIME, RETURN_TIME + Math.max(0, timeLeft))),
    ]);
    this.#context.kernel.close();
    this.#undo();
    this.#budgets.close();
    this.#context.dialect.close();
    this.#relay.close();
    for (const server of this.#servers) server.close();
    log.info(LogEvent.Stopped, {
      open: this.#callers.openRequests,
      unsent: this.#callers.unsentAnswers,
      ms: Math.round(clock.readMonotonic() - startedAt),
    });
    await Promise.race([log.flush(), sleep(FLUSH_TIME)]);
  }

  /** Ends the requests for which the time of a planned stop is too short. */
  async #endRequests(): Promise<void> {
    const { clock } = this.#context;
    const giveUpAt = clock.readMonotonic() + END_REQUESTS_TIME;
    this.#callers.endRequests();
    while (
      this.#callers.openRequests > 0 && clock.readMonotonic() < giveUpAt
    ) await sleep(END_POLL_INTERVAL);
  }

  #changeVmCount(count: number): void {
    const vms = Math.max(MIN_VM_COUNT, count);
    this.#targets.changeVmCount(vms);
    const { slack } = this.#context.settings.retries;
    // Half of the slack: two windows may share the same burst.
    this.#retries.changeMaxSaved(Math.max(1, slack / vms / 2));
  }

  async #listenToPeers(address: string): Promise<void> {
    const server = this.#peers.createServer({
      lend: (request) => this.#budgets.loans.lend(request),
      keepStreams: (records) => this.#streams.keep(records),
      findStream: (query) => this.#streams.answer(query),
      followConfiguration: (query) =>
        this.#configuration.peers.answers.answer(query),
    });
    this.#relay.attach(server);
    void this.#peers.list.announce(await this.#listen(server, address));
  }

  /** Starts to listen; returns the address with the port that was bound. */
  async #listen(server: Server, address: string): Promise<string> {
    const { host, port } = parseAddress(address);
    registerIdleClose(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    this.#servers.push(server);
    return `${host}:${(server.address() as AddressInfo).port}`;
  }
}

function createGatewayContext(options: GatewayOptions): GatewayContext {
  const { settings, dialect } = options;
  const { clock = createSystemClock() } = options;
  const metrics = options.metrics ?? createGatewayMetrics();
  return {
    settings,
    vm: settings.vm,
    region: settings.regions[settings.dataCentre],
    incarnation: computeIncarnation({
      wallTime: clock.readWall(),
      salt: randomBytes(INCARNATION_SALT_BYTES).toString("hex"),
    }),
    dialect,
    kernel: new Kernel(),
    clock,
    random: Math.random,
    log: options.log ?? createEventLog({
      level: settings.logLevel,
      countDropped: (lines) => metrics.droppedLogLines.inc(lines),
    }),
    metrics,
  };
}

function parseAddress(address: string): { host: string; port: number } {
  const end = address.lastIndexOf(":");
  return {
    host: address.slice(0, end),
    port: Number(address.slice(end + 1)),
  };
}
