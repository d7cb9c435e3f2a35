/**
 * One entry VM that serves routes: it follows the configuration and the
 * targets, keeps customers' budgets, and passes requests on.
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  combineUndo,
  createSystemClock,
  Kernel,
  type Millis,
  type Undo,
} from "../core/mod.ts";
import { computeIncarnation } from "../membership/mod.ts";
import { ConnectionPools } from "../ports/mod.ts";
import { RetryBudgets } from "../routing/mod.ts";
import { createEventLog, type EventLog, LogEvent } from "../runtime/mod.ts";
import type { GatewaySettings } from "../settings/mod.ts";
import type { Dialect } from "./dialect.ts";
import { CallRunner } from "./entry/call_runner.ts";
import { CallerFace } from "./entry/caller_face.ts";
import {
  createOperatorServer,
  createReadinessServer,
} from "./entry/operator_face.ts";
import { ConfigurationFollower } from "./features/configuration_follower.ts";
import { CustomerBudgets } from "./features/budgets/customer_budgets.ts";
import { TargetRegistry } from "./features/target_registry.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";

/** What a gateway is made from. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly dialect: Dialect;
  readonly log?: EventLog;
}

/** Bytes of chance in an incarnation. */
const SALT_BYTES = 4;

/**
 * Least time after the stop signal until the listener closes: the balancer asks
 * once a second and sends no new connections after two misses.
 */
const LISTEN_TIME: Millis = 3_000;

/**
 * Time without a new connection after which the balancer is taken to have
 * others; where it has none, callers still come here.
 */
const QUIET_TIME: Millis = 1_000;

/** Kept back from the time to stop for returning tokens and ending. */
const LAST_TIME: Millis = 700;

/** Pause between two looks at whether all requests have ended. */
const DRAIN_CHECK: Millis = 100;

/** VMs that share the retry budget before their number is known. */
const LEAST_VMS = 6;

/** A running gateway. */
export class Gateway {
  readonly #context: GatewayContext;
  readonly #configuration: ConfigurationFollower;
  readonly #targets: TargetRegistry;
  readonly #budgets: CustomerBudgets;
  readonly #callers: CallerFace;
  readonly #pools: ConnectionPools;
  readonly #retries = new RetryBudgets();
  readonly #servers: Server[] = [];
  #undo: Undo = () => {};
  #stopping: Promise<void> | undefined;

  constructor(options: GatewayOptions) {
    this.#context = createGatewayContext(options);
    const context = this.#context;
    this.#pools = new ConnectionPools(context.clock);
    this.#configuration = new ConfigurationFollower(context);
    this.#targets = new TargetRegistry(context);
    this.#budgets = new CustomerBudgets(context);
    this.#callers = new CallerFace({
      context,
      configuration: this.#configuration,
      budgets: this.#budgets,
      runner: new CallRunner({
        context,
        targets: this.#targets,
        pools: this.#pools,
        retries: this.#retries,
      }),
    });
    this.#configuration.addListener((configuration) => {
      this.#callers.changeLimits(configuration.limits);
      this.#budgets.applyConfiguration(configuration);
    });
    this.#targets.addRemovalListener((target) => this.#pools.dropPool(target));
    this.#budgets.setVmCountListener((count) => this.#changeVmCount(count));
    this.#changeVmCount(LEAST_VMS);
  }

  /** Port of the callers' face, which the kernel may have chosen. */
  get callerPort(): number {
    return this.#callers.readPort();
  }

  /** The process's log. */
  get log(): EventLog {
    return this.#context.log;
  }

  /** Whether this VM takes new connections. */
  get isReady(): boolean {
    return this.#stopping === undefined &&
      this.#configuration.read() !== undefined && this.#targets.isLoaded;
  }

  /** Listens and starts to follow; rejects when an address can't be had. */
  async start(): Promise<void> {
    const { settings, log, incarnation, vm } = this.#context;
    await this.#callers.listen(parseAddress(settings.callers));
    const faces = { context: this.#context, isReady: () => this.isReady };
    await this.#listen(createReadinessServer(faces), settings.readiness);
    if (settings.operators !== undefined) {
      await this.#listen(createOperatorServer(faces), settings.operators);
    }
    if (settings.peers !== undefined) await this.#listenToPeers(settings.peers);
    this.#undo = combineUndo([
      this.#configuration.register(),
      this.#targets.register(),
      this.#budgets.register(),
    ]);
    log.info(LogEvent.Started, {
      vm,
      incarnation,
      data_centre: settings.dataCentre,
      callers: settings.callers,
    });
  }

  /**
   * Stops as planned: takes no new connections, ends what is open, returns
   * tokens. Resolves when the process may end.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#drain();
    return this.#stopping;
  }

  /** Ends at once, as a process that is killed does; for tests. */
  kill(): void {
    this.#context.kernel.close();
    this.#undo();
    this.#budgets.close();
    this.#callers.destroy();
    for (const server of this.#servers) server.close();
  }

  /** Returns the state of every part, for operators. */
  readDump(): Record<string, unknown> {
    return this.#context.kernel.readDump();
  }

  /** Takes over settings that may change while it runs. */
  changeSettings(settings: GatewaySettings): void {
    this.#context.settings = settings;
    this.#changeVmCount(this.#budgets.countVms());
    this.#context.log.info(LogEvent.SettingsReloaded, {
      log_level: settings.logLevel,
      offline_ms: settings.budgets.offlineMillis,
    });
  }

  async #drain(): Promise<void> {
    const { clock, log, settings } = this.#context;
    const startedAt = clock.readMonotonic();
    log.info(LogEvent.DrainStarted, { open: this.#callers.open });
    const end = startedAt + settings.stopMillis - LAST_TIME;
    this.#callers.startDrain({ startedAt, endsAt: end });
    await sleep(LISTEN_TIME);
    for (;;) {
      const now = clock.readMonotonic();
      const isQuiet = now - this.#callers.lastConnection > QUIET_TIME;
      // Connections whose last answer was sent are idle by now.
      if (isQuiet) this.#callers.stopListening();
      if ((isQuiet && this.#callers.open === 0) || now >= end) break;
      await sleep(DRAIN_CHECK);
    }
    this.#callers.stopListening();
    await Promise.race([this.#budgets.returnAll(), sleep(LAST_TIME / 2)]);
    this.#context.kernel.close();
    this.#undo();
    this.#budgets.close();
    for (const server of this.#servers) server.close();
    log.info(LogEvent.Stopped, {
      open: this.#callers.open,
      ms: Math.round(clock.readMonotonic() - startedAt),
    });
    await Promise.race([log.flush(), sleep(LAST_TIME / 2)]);
  }

  #changeVmCount(count: number): void {
    const vms = Math.max(LEAST_VMS, count);
    this.#targets.changeVmCount(vms);
    const { slack } = this.#context.settings.retries;
    // Half of the slack: two windows may share the same burst.
    this.#retries.changeMaxSaved(Math.max(1, slack / vms / 2));
  }

  async #listenToPeers(address: string): Promise<void> {
    const server = this.#budgets.loans.createServer();
    await this.#listen(server, address);
    const { host } = parseAddress(address);
    const { port } = server.address() as AddressInfo;
    void this.#budgets.loans.announce(`${host}:${port}`);
  }

  async #listen(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    this.#servers.push(server);
  }
}

function createGatewayContext(options: GatewayOptions): GatewayContext {
  const { settings, dialect } = options;
  const clock = createSystemClock();
  const metrics = createGatewayMetrics();
  return {
    settings,
    vm: settings.vm,
    region: settings.regions[settings.dataCentre],
    incarnation: computeIncarnation({
      wallTime: clock.readWall(),
      salt: randomBytes(SALT_BYTES).toString("hex"),
    }),
    dialect,
    kernel: new Kernel(),
    clock,
    random: Math.random,
    log: options.log ?? createEventLog({
      level: settings.logLevel,
      countDropped: (lines) => metrics.linesLeftOut.inc(lines),
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
