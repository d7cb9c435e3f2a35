/**
 * A small fleet in one process: the stand-ins of every outside system and two
 * entry VMs, on ports that the kernel picks.
 */
import { createHash } from "node:crypto";
import {
  createSilentLog,
  type RunningDaemon,
  startDaemon,
} from "../../daemon/mod.ts";
import { parseDocument } from "../../document/mod.ts";
import { type Settings, SETTINGS_SCHEMA } from "../../settings/mod.ts";
import {
  type EngineServer,
  type PlainServiceServer,
  type RunningServer,
  startEngineServer,
  startObjectServer,
  startPlainServer,
  startTableServer,
  startVmListServer,
  type TableServer,
} from "../../stand_ins/mod.ts";

/** Key of the demo's customer. */
export const CUSTOMER_KEY = "demo-customer-key";

/** Key of the demo's team. */
export const TEAM_KEY = "demo-team-key";

/** Budget of the demo's event, in tokens. */
export const BUDGET_TOKENS = 6_000;

/** A running fleet. */
export interface DemoFleet {
  readonly daemons: readonly RunningDaemon[];
  readonly engines: readonly EngineServer[];
  readonly booking: PlainServiceServer;
  readonly table: TableServer;
  /** A planned stop of both VMs: bills are flushed and grants returned. */
  stopDaemons(): Promise<void>;
  /** Stops the stand-ins. */
  stopServers(): Promise<void>;
}

/** Starts the fleet; resolves when both VMs serve. */
export async function startDemoFleet(): Promise<DemoFleet> {
  const table = await startTableServer();
  const objects = await startObjectServer();
  const vmList = await startVmListServer();
  const engines = [
    await startEngineServer({ name: "engine-1", answerTokens: 60 }),
    await startEngineServer({ name: "engine-2", answerTokens: 60 }),
  ];
  const booking = await startPlainServer();
  const platform = { table, objects, vmList };
  const daemons = [
    await startDemoDaemon("entry-1", platform),
    await startDemoDaemon("entry-2", platform),
  ];
  const document = createDemoDocument({ engines, booking });
  const configuration = parseDocument(document, "demo").unsafeCoerce();
  for (const daemon of daemons) {
    daemon.applyConfiguration({ ...configuration, version: 1 });
  }
  const servers = [table, objects, vmList, ...engines, booking];
  return {
    daemons,
    engines,
    booking,
    table,
    async stopDaemons() {
      await Promise.all(daemons.map((daemon) => daemon.stop()));
    },
    async stopServers() {
      await Promise.all(servers.map((server) => server.stop()));
    },
  };
}

function startDemoDaemon(
  vm: string,
  platform: Readonly<Record<"table" | "objects" | "vmList", RunningServer>>,
): Promise<RunningDaemon> {
  const face = { host: "127.0.0.1", port: 0 };
  const settings: Settings = SETTINGS_SCHEMA.parse({
    vm,
    region: "addis",
    dataCentre: "addis-a",
    callers: face,
    operators: face,
    peers: face,
    peerKey: "demo-peer-key-0123",
    platform: {
      table: { url: platform.table.url },
      objects: { url: platform.objects.url },
      vmList: { url: platform.vmList.url },
    },
    intervals: { loadReportMillis: 100, vmListMillis: 200 },
  });
  return startDaemon(settings, { log: createSilentLog() });
}

function createDemoDocument(targets: {
  readonly engines: readonly EngineServer[];
  readonly booking: PlainServiceServer;
}): string {
  const place = { region: "addis", dataCentre: "addis-a", capacity: 16 };
  const engines = targets.engines.map((engine, index) => [
    `engine-${index + 1}`,
    { url: engine.url, ...place },
  ]);
  const document = {
    teams: { operations: { keyHashes: [computeKeyHash(TEAM_KEY)] } },
    sections: {
      operations: {
        events: { "tour-arrival": createDemoEvent() },
        customers: {
          "selam-tours": {
            keyHashes: [computeKeyHash(CUSTOMER_KEY)],
            weight: 1,
            limits: {
              requestsPerSecond: 100,
              tokensPerSecond: 100_000,
              concurrentRequests: 50,
            },
          },
        },
        services: {
          chat: {
            type: "model-engine",
            path: "/v1/chat/completions",
            progressTimeoutMillis: 2_000,
            targets: Object.fromEntries(engines),
          },
          booking: {
            type: "plain-service",
            path: "/v1/bookings",
            progressTimeoutMillis: 2_000,
            targets: { "booking-1": { url: targets.booking.url, ...place } },
          },
        },
      },
    },
  };
  return JSON.stringify(document, null, 2);
}

function createDemoEvent() {
  const chat = { service: "chat", repeatability: "repeatable" };
  return {
    budgetTokens: BUDGET_TOKENS,
    lean: "fewer-refusals",
    customers: ["selam-tours"],
    homes: 1,
    kinds: {
      briefing: {
        ...chat,
        priority: "standard",
        maxOutputTokens: 60,
        deadlineMillis: 60_000,
      },
      reply: {
        ...chat,
        priority: "interactive",
        maxOutputTokens: 20,
        deadlineMillis: 10_000,
      },
      marathon: {
        ...chat,
        priority: "bulk",
        maxOutputTokens: 100_000,
        deadlineMillis: 60_000,
      },
      booking: {
        service: "booking",
        priority: "interactive",
        repeatability: "once",
        flatTokens: 10,
        deadlineMillis: 10_000,
      },
    },
  };
}

function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
