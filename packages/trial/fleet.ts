/**
 * A small fleet in one process for the demo, tests and measurements: the
 * stand-ins of every outside system and a few entry VMs, on ports that the
 * kernel picks.
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

/** Key of the fleet's customer. */
export const CUSTOMER_KEY = "trial-customer-key";

/** Key of the fleet's second customer. */
export const OTHER_CUSTOMER_KEY = "trial-other-customer-key";

/** Key of the fleet's team. */
export const TEAM_KEY = "trial-team-key";

const PEER_KEY = "trial-peer-key-0123";

/** How the fleet is made. */
export interface FleetOptions {
  /** Number of entry VMs. */
  readonly vms?: number;
  readonly engines?: readonly EngineOptions[];
  readonly services?: readonly PlainServiceOptions[];
  readonly table?: MemoryTableOptions;
  /** Budget of the event, in tokens. */
  readonly budgetTokens?: number;
  /** Silence after which a path is suspected, in milliseconds. */
  readonly progressTimeoutMillis?: number;
  /** Model that the engines are to have loaded. */
  readonly model?: string;
  /** Changes to the settings of each VM. */
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly log?: EventLog;
}

/** A running fleet. */
export interface TrialFleet {
  readonly daemons: RunningDaemon[];
  readonly engines: readonly EngineServer[];
  readonly services: readonly PlainServiceServer[];
  readonly table: TableServer;
  readonly vmList: VmListServer;
  /** Starts one more VM; it joins the others. */
  startVm(): Promise<RunningDaemon>;
  /** A planned stop of all VMs: bills are flushed and grants returned. */
  stopDaemons(): Promise<void>;
  /** Stops the stand-ins. */
  stopServers(): Promise<void>;
  /** Ends everything at once. */
  kill(): Promise<void>;
}

/** Returns the hash of a key as the document keeps it. */
export function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Starts a fleet; resolves when every VM serves. */
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
  for (let vm = 0; vm < (options.vms ?? 2); vm++) await startVm();
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
  each: readonly Options[],
  start: (options: Options) => Promise<Server>,
): Promise<Server[]> {
  return Promise.all(each.map((options) => start(options)));
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
