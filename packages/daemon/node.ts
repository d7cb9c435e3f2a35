/**
 * The parts of a daemon that belong to no single feature: the identity of its
 * VM, its ports to the platform, and the commands and dumps of the whole VM.
 */
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  combineUndo,
  type CommandType,
  createCommand,
  createSystemClock,
  type FleetConfiguration,
  Kernel,
  type Millis,
  type Undo,
} from "../core/mod.ts";
import { computeIncarnation } from "../membership/mod.ts";
import {
  HttpObjectStore,
  HttpTable,
  HttpTargets,
  HttpVmList,
  StoreWriter,
} from "../ports/mod.ts";
import type { ServiceSettings, Settings } from "../settings/mod.ts";
import { createEventLog, type EventLog } from "../runtime/mod.ts";
import { CONFIGURATION, DRAINING, type NodeContext } from "./node_context.ts";
import { createNodeMetrics } from "./node_metrics.ts";

/** Applies a configuration; a version older than the current is ignored. */
export const SET_CONFIGURATION: CommandType<FleetConfiguration, void> =
  createCommand("configuration.set");

/** Starts a planned stop: from then on, new requests are refused. */
export const START_DRAIN: CommandType<void, void> = createCommand(
  "drain.start",
);

/** Maximum delay of a store write to batch it with others. */
const MAX_GROUP_DELAY: Millis = 50;

const SALT_BYTES = 4;

/** Creates the context of a daemon from its settings. */
export function createNodeContext(
  settings: Settings,
  log?: EventLog,
): NodeContext {
  const clock = createSystemClock();
  const { platform, intervals } = settings;
  const table = new HttpTable(createServiceOptions(platform.table));
  const writer = new StoreWriter({
    table,
    clock,
    random: Math.random,
    groupDelay: Math.min(intervals.flushMillis, MAX_GROUP_DELAY),
  });
  return {
    settings,
    incarnation: computeIncarnation({
      wallTime: clock.readWall(),
      salt: randomBytes(SALT_BYTES).toString("hex"),
    }),
    kernel: new Kernel(),
    clock,
    random: Math.random,
    table,
    writer,
    objects: platform.objects === undefined
      ? undefined
      : new HttpObjectStore(createServiceOptions(platform.objects)),
    vmList: platform.vmList === undefined
      ? undefined
      : new HttpVmList(createServiceOptions(platform.vmList)),
    targets: new HttpTargets(clock),
    log: log ?? createEventLog({ level: settings.logLevel }),
    metrics: createNodeMetrics(),
  };
}

/** Returns the key by which the entry VMs authenticate to each other. */
export function readPeerKey(settings: Settings): string {
  if (settings.peerKey !== undefined) return settings.peerKey;
  return readFileSync(settings.peerKeyFile ?? "", "utf8").trim();
}

/** Registers the commands and state dumps of the VM as a whole. */
export function registerNode(context: NodeContext): Undo {
  const { kernel, settings, incarnation, writer, metrics } = context;
  return combineUndo([
    kernel.registerCommand(SET_CONFIGURATION, (configuration, update) => {
      // The version never decreases; an older configuration is ignored.
      if (configuration.version < update.read(CONFIGURATION).version) return;
      update.write(CONFIGURATION, configuration);
      metrics.documentVersion.set(configuration.version);
    }),
    kernel.registerCommand(
      START_DRAIN,
      (_, update) => update.write(DRAINING, true),
    ),
    kernel.registerDump("vm", () => ({
      vm: settings.vm,
      incarnation,
      region: settings.region,
      dataCentre: settings.dataCentre,
      documentVersion: kernel.read(CONFIGURATION).version,
      draining: kernel.read(DRAINING),
    })),
    kernel.registerDump("store", () => ({
      ...writer.readCounts(),
      lastError: writer.readLastError()?.message ?? null,
    })),
  ]);
}

function createServiceOptions(service: ServiceSettings) {
  const token = service.tokenFile === undefined
    ? {}
    : { token: readFileSync(service.tokenFile, "utf8").trim() };
  return { url: service.url, timeout: service.timeoutMillis, ...token };
}
