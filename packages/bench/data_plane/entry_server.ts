/** An entry VM before the lean target, with a budget that does not run out. */
import { createHash } from "node:crypto";
import {
  createSampleConfiguration,
  type FleetSize,
} from "../capacity/sample_fleet.ts";
import {
  createSilentLog,
  type RunningDaemon,
  startDaemon,
} from "../../daemon/mod.ts";
import { parseDocument } from "../../document/mod.ts";
import { SETTINGS_SCHEMA } from "../../settings/mod.ts";

/** Key of the one customer. */
export const CUSTOMER_KEY = "bench-customer-key";

/** Kinds of the one event. */
export enum BenchKind {
  Chat = "chat",
  Lookup = "lookup",
  Refuel = "refuel",
}

const PLENTY = 1_000_000_000;
const DEADLINE_MILLIS = 3_600_000;
const SILENCE_MILLIS = 600_000;

/** Starts the daemon; `tableUrl` is the table service's base URL. */
export async function startEntry(input: {
  readonly targetUrl: string;
  readonly tableUrl: string;
  /** Puts a sample configuration of this size in force instead. */
  readonly size?: FleetSize;
}): Promise<RunningDaemon> {
  const face = { host: "127.0.0.1", port: 0 };
  const settings = SETTINGS_SCHEMA.parse({
    vm: "bench-1",
    region: "west",
    dataCentre: "west-a",
    callers: face,
    operators: face,
    peers: face,
    peerKey: "bench-peer-key-0123",
    platform: { table: { url: input.tableUrl } },
    limits: { maxConnections: 50_000, maxOpenRequests: 50_000 },
  });
  const daemon = await startDaemon(settings, { log: createSilentLog() });
  const configuration = input.size === undefined
    ? parseDocument(createDocument(input.targetUrl), "bench").unsafeCoerce()
    : createSampleConfiguration(input.size, input.targetUrl);
  daemon.applyConfiguration({ ...configuration, version: 1 });
  return daemon;
}

function createDocument(targetUrl: string): string {
  return JSON.stringify({
    teams: { bench: { keyHashes: [computeKeyHash("bench-team-key")] } },
    sections: {
      bench: {
        events: { bench: createEvent() },
        customers: { bench: createCustomer() },
        services: {
          engines: {
            type: "model-engine",
            path: "/v1/chat/completions",
            progressTimeoutMillis: SILENCE_MILLIS,
            targets: { engine: createTarget(targetUrl) },
          },
          ledger: {
            type: "plain-service",
            path: "/v1/ledger",
            progressTimeoutMillis: SILENCE_MILLIS,
            targets: { ledger: createTarget(targetUrl) },
          },
        },
      },
    },
  });
}

function createEvent() {
  const shared = { deadlineMillis: DEADLINE_MILLIS, priority: "interactive" };
  const call = { ...shared, service: "ledger", flatTokens: 10 };
  return {
    budgetTokens: 1_000_000 * PLENTY,
    lean: "fewer-refusals",
    customers: ["bench"],
    homes: 1,
    kinds: {
      [BenchKind.Chat]: {
        ...shared,
        service: "engines",
        repeatability: "repeatable",
        maxOutputTokens: 10_000,
      },
      [BenchKind.Lookup]: { ...call, repeatability: "repeatable" },
      [BenchKind.Refuel]: { ...call, repeatability: "once" },
    },
  };
}

function createCustomer() {
  return {
    keyHashes: [computeKeyHash(CUSTOMER_KEY)],
    weight: 1,
    limits: {
      requestsPerSecond: PLENTY,
      tokensPerSecond: PLENTY,
      concurrentRequests: PLENTY,
    },
  };
}

function createTarget(url: string) {
  return { url, region: "west", dataCentre: "west-a", capacity: 100_000 };
}

function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
