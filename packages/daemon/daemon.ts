/**
 * The daemon: features registered on one kernel, with a face for callers and
 * one for operators.
 */
import { randomBytes } from "node:crypto";
import {
  combineUndo,
  type CommandType,
  createCommand,
  createSystemClock,
  type FleetConfiguration,
  Kernel,
  type Undo,
} from "../core/mod.ts";
import { HttpTable, HttpTargets, StoreWriter } from "../platform/mod.ts";
import { HttpObjectStore, HttpVmList } from "../platform/mod.ts";
import type { ServiceSettings, Settings } from "../settings/mod.ts";
import { CallerFace } from "./entry/caller_face.ts";
import { RequestRunner } from "./entry/request_runner.ts";
import { createEventLog, type EventLog, LogEvent } from "./event_log.ts";
import { BillLog } from "./features/bill_log.ts";
import { Escrow } from "./features/escrow.ts";
import { TargetRouter } from "./features/target_router.ts";
import { type RunningFace, startFace } from "./http_face.ts";
import { CONFIGURATION, DRAINING, type NodeContext } from "./node_context.ts";
import { createNodeMetrics } from "./node_metrics.ts";
import { OperatorFace } from "./operators/operator_face.ts";

const SET_CONFIGURATION: CommandType<FleetConfiguration, void> = createCommand(
  "configuration.set",
);
const START_DRAIN: CommandType<void, void> = createCommand("drain.start");

/** What a daemon can be given instead of its defaults. */
export interface DaemonOptions {
  readonly log?: EventLog;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly context: NodeContext;
  /** Puts a configuration in force; an older version is ignored. */
  applyConfiguration(configuration: FleetConfiguration): void;
  /** A planned stop: finishes every request, returns grants, flushes bills. */
  stop(): Promise<void>;
  /** Stops at once, as if the VM had died. */
  kill(): void;
}

/** Starts a daemon; resolves when its faces listen. */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<RunningDaemon> {
  const context = createContext(settings, options);
  const escrow = new Escrow(context);
  const bills = new BillLog(context);
  const router = new TargetRouter(context);
  const runner = new RequestRunner(context, {
    escrow,
    router,
    bills,
    isLifeOver: () => false,
  });
  const undo = combineUndo([
    registerSettings(context),
    escrow.register(),
    bills.register(),
    router.register(),
    runner.register(),
  ]);
  const callers = new CallerFace(context, runner);
  const operators = new OperatorFace(context);
  const faces = await startFaces(settings, { callers, operators });
  context.log.info(LogEvent.Started, {
    vm: settings.vm,
    incarnation: context.incarnation,
    callers: faces.callers.address,
    operators: faces.operators.address,
  });
  return {
    callerAddress: faces.callers.address,
    operatorAddress: faces.operators.address,
    context,
    applyConfiguration(configuration) {
      context.kernel.dispatch(SET_CONFIGURATION, configuration);
      router.applyConfiguration();
    },
    async stop() {
      context.log.info(LogEvent.DrainStarted, { open: runner.countOpen() });
      context.kernel.dispatch(START_DRAIN, undefined);
      await runner.waitForIdle();
      await bills.flush();
      await escrow.returnGrants();
      await closeAll(faces, undo);
      context.targets.close();
      context.log.info(LogEvent.Stopped, { vm: settings.vm });
    },
    kill() {
      undo();
      faces.callers.destroy();
      faces.operators.destroy();
      void closeAll(faces, () => {});
    },
  };
}

function createContext(
  settings: Settings,
  options: DaemonOptions,
): NodeContext {
  const clock = createSystemClock();
  const { platform, intervals } = settings;
  const table = new HttpTable(createServiceOptions(platform.table));
  const writer = new StoreWriter({
    table,
    clock,
    random: Math.random,
    sleep: (duration) => new Promise((done) => setTimeout(done, duration)),
    groupDelay: Math.min(intervals.flushMillis, MAX_GROUP_DELAY_MILLIS),
  });
  return {
    settings,
    incarnation: createIncarnation(clock.readWall()),
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
    log: options.log ?? createEventLog(settings.logLevel),
    metrics: createNodeMetrics(),
  };
}

/** Longest wait of a store write for company, in milliseconds. */
const MAX_GROUP_DELAY_MILLIS = 50;

const INCARNATION_TIME_DIGITS = 11;
const INCARNATION_RANDOM_BYTES = 6;

/** Starts with the time, so that a later life compares greater. */
function createIncarnation(wallTime: number): string {
  const time = Math.floor(wallTime).toString(36);
  const random = randomBytes(INCARNATION_RANDOM_BYTES).toString("hex");
  return `${time.padStart(INCARNATION_TIME_DIGITS, "0")}-${random}`;
}

function createServiceOptions(service: ServiceSettings) {
  return { url: service.url, timeout: service.timeoutMillis };
}

function registerSettings(context: NodeContext): Undo {
  const { kernel, settings, incarnation, writer, metrics } = context;
  return combineUndo([
    kernel.registerCommand(SET_CONFIGURATION, (configuration, update) => {
      // A version never goes back.
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

interface Faces {
  readonly callers: RunningFace;
  readonly operators: RunningFace;
}

async function startFaces(
  settings: Settings,
  handlers: { readonly callers: CallerFace; readonly operators: OperatorFace },
): Promise<Faces> {
  const { limits } = settings;
  return {
    callers: await startFace(settings.callers, {
      limits,
      handler: (request, response) =>
        handlers.callers.handle(request, response),
    }),
    operators: await startFace(settings.operators, {
      limits,
      handler: (request, response) =>
        handlers.operators.handle(request, response),
    }),
  };
}

async function closeAll(faces: Faces, undo: Undo): Promise<void> {
  undo();
  await Promise.all([faces.callers.close(), faces.operators.close()]);
}
