/**
 * Runs a small fleet in one process for the demo, tests and measurements: a few
 * entry VMs and the stand-ins of all systems that they depend on, on ports that
 * the kernel chooses.
 */
import { createHash } from "node:crypto";
import {
  createSilentLog,
  type EventLog,
  type RunningDaemon,
  startDaemon,
} from "../daemon/mod.ts";
import { parseDocument } from "../document/mod.ts";
import { type Settings, SETTINGS_SCHEMA } from "../settings/mod.ts";
import {
  type EngineOptions,
  type EngineServer,
  type MemoryTableOptions,
  type PlainServiceOptions,
  type PlainServiceServer,
  type RunningServer,
  startEngineServer,
  startObjectServer,
  startPlainServer,
  startTableServer,
  startVmListServer,
  type TableServer,
  type VmListServer,
} from "../stand_ins/mod.ts";
import { createTrialDocument } from "./trial_document.ts";

/** Key of the fleet's first customer, which the trial event admits. */
export const CUSTOMER_KEY = "trial-customer-key";

/** Key of the fleet's second customer, which the trial event doesn't admit. */
export const OTHER_CUSTOMER_KEY = "trial-other-customer-key";

/** Key of the team that administers the fleet's document. */
export const TEAM_KEY = "trial-team-key";

const PEER_KEY = "trial-peer-key-0123";

/** Options of a trial fleet; absent ones have defaults. */
export interface FleetOptions {
  /** Number of entry VMs to start. */
  readonly vms?: number;
  readonly engines?: readonly EngineOptions[];
  readonly services?: readonly PlainServiceOptions[];
  readonly table?: MemoryTableOptions;
  /** Budget of the trial event, in tokens. */
  readonly budgetTokens?: number;
  /** Time without progress after which a path is suspected, in milliseconds. */
  readonly progressTimeoutMillis?: number;
  /** Model that the chat service requires of its engines; none if absent. */
  readonly model?: string;
  /** Settings that override the defaults of each VM. */
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly log?: EventLog;
}

/** A running trial fleet. */
export interface TrialFleet {
  /** Daemons of the entry VMs, in the order of their start. */
  readonly daemons: RunningDaemon[];
  readonly engines: readonly EngineServer[];
  readonly services: readonly PlainServiceServer[];
  readonly table: TableServer;
  readonly vmList: VmListServer;
  /** Starts another entry VM, which joins the running ones. */
  startVm(): Promise<RunningDaemon>;
  /** Stops all daemons as planned: bills are flushed and grants returned. */
  stopDaemons(): Promise<void>;
  /** Stops the servers of all stand-ins. */
  stopServers(): Promise<void>;
  /** Kills all daemons without a planned stop, then stops the stand-ins. */
  kill(): Promise<void>;
}

/** Returns the hash by which the document identifies a key (SHA-256, hex). */
export function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Starts a trial fleet; resolves when every entry VM is running. */
export async function startTrialFleet(
  options: FleetOptions = {},
): Promise<TrialFleet> {
  const platform = {
    table: await startTableServer(options.table),
    objects: await startObjectServer(),
    vmList: await startVmListServer(),
  };
  const engines = await startAll(
    options.engines ?? [{}, {}],
    startEngineServer,
  );
  const services = await startAll(options.services ?? [{}], startPlainServer);
  const document = createTrialDocument({ engines, services, options });
  const configuration = parseDocument(document, "trial").unsafeCoerce();
  const daemons: RunningDaemon[] = [];
  const startVm = async () => {
    const vm = `entry-${daemons.length + 1}`;
    const seeds = daemons.map((daemon) => daemon.peerAddress);
    const settings = createSettings(vm, { platform, seeds, options });
    const log = options.log ?? createSilentLog();
    const daemon = await startDaemon(settings, { log });
    daemon.applyConfiguration({ ...configuration, version: 1 });
    daemons.push(daemon);
    return daemon;
  };
  for (let index = 0; index < (options.vms ?? 2); index++) await startVm();
  const servers = [...Object.values(platform), ...engines, ...services];
  const stopServers = async () => {
    await Promise.all(servers.map((server) => server.stop()));
  };
  return {
    daemons,
    engines,
    services,
    table: platform.table,
    vmList: platform.vmList,
    startVm,
    async stopDaemons() {
      await Promise.all(daemons.map((daemon) => daemon.stop()));
    },
    stopServers,
    async kill() {
      for (const daemon of daemons) daemon.kill();
      await stopServers();
    },
  };
}

function startAll<Options, Server>(
  optionsPerServer: readonly Options[],
  start: (options: Options) => Promise<Server>,
): Promise<Server[]> {
  return Promise.all(optionsPerServer.map((options) => start(options)));
}

function createSettings(
  vm: string,
  input: {
    readonly platform: Readonly<
      Record<"table" | "objects" | "vmList", RunningServer>
    >;
    readonly seeds: readonly string[];
    readonly options: FleetOptions;
  },
): Settings {
  const listenAddress = { host: "127.0.0.1", port: 0 };
  const { platform } = input;
  return SETTINGS_SCHEMA.parse({
    vm,
    region: "addis",
    dataCentre: "addis-a",
    callers: listenAddress,
    operators: listenAddress,
    peers: listenAddress,
    peerKey: PEER_KEY,
    seeds: input.seeds,
    platform: {
      table: { url: platform.table.url, timeoutMillis: 1_000 },
      objects: { url: platform.objects.url },
      vmList: { url: platform.vmList.url },
    },
    intervals: {
      gossipMillis: 200,
      loadReportMillis: 100,
      vmListMillis: 200,
      grantCheckMillis: 100,
    },
    ...input.options.settings,
  });
}
