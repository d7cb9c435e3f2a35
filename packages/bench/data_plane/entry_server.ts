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

/** Key of the one team. */
export const TEAM_KEY = "bench-team-key";

/** Kinds of each event. */
export enum BenchKind {
  Chat = "chat",
  Lookup = "lookup",
  Refuel = "refuel",
}

/** Region of every entry and target. */
export const BENCH_REGION = "west";

const UNREACHED_LIMIT = 1_000_000_000;
const DEADLINE_MILLIS = 3_600_000;
const PROGRESS_TIMEOUT_MILLIS = 600_000;

/** Events of the document; their homes spread over a fleet. */
export const BENCH_EVENTS = 40;

/** Where an entry stands in a fleet. */
export interface EntryFleetOptions {
  readonly vm: string;
  readonly peerPort: number;
  /** Peer address that others use. */
  readonly advertise: string;
  readonly seeds: readonly string[];
}

/** What an entry is started with. */
export interface EntryOptions {
  readonly targetUrl?: string;
  /** Base URL of the table service. */
  readonly tableUrl?: string;
  /** Puts a sample configuration of this size in force. */
  readonly size?: FleetSize;
  /** Alone if absent. */
  readonly fleet?: EntryFleetOptions;
  /** Takes the configuration from the table's document instead. */
  readonly followsStoredDocument?: boolean;
}

/** Starts the daemon. */
export async function startEntry(input: EntryOptions): Promise<RunningDaemon> {
  const { targetUrl = "", size } = input;
  const daemon = await startDaemon(createSettings(input), {
    log: createSilentLog(),
  });
  if (input.followsStoredDocument === true) return daemon;
  const configuration = size === undefined
    ? parseDocument(createDocument(targetUrl), "bench").unsafeCoerce()
    : createSampleConfiguration(size, targetUrl);
  daemon.applyConfiguration({ ...configuration, version: 1 });
  return daemon;
}

function createSettings(input: EntryOptions) {
  const { tableUrl = "", fleet } = input;
  const listener = { host: "127.0.0.1", port: 0 };
  const peers = fleet === undefined
    ? listener
    : { ...listener, port: fleet.peerPort, advertise: fleet.advertise };
  return SETTINGS_SCHEMA.parse({
    vm: fleet?.vm ?? "bench-0",
    region: BENCH_REGION,
    dataCentre: "west-a",
    callers: listener,
    operators: listener,
    peers,
    peerKey: "bench-peer-key-0123",
    seeds: fleet?.seeds ?? [],
    platform: { table: { url: tableUrl } },
    limits: { maxConnections: 50_000, maxOpenRequests: 50_000 },
  });
}

function createDocument(targetUrl: string): string {
  return JSON.stringify({
    teams: { bench: { keyHashes: [computeKeyHash(TEAM_KEY)] } },
    sections: {
      bench: {
        events: Object.fromEntries(
          Array.from({ length: BENCH_EVENTS }, (_, index) => [
            formatBenchEvent(index),
            createEvent(),
          ]),
        ),
        customers: { bench: createCustomer() },
        services: {
          engines: {
            type: "model-engine",
            path: "/v1/chat/completions",
            progressTimeoutMillis: PROGRESS_TIMEOUT_MILLIS,
            targets: { engine: createTarget(targetUrl) },
          },
          ledger: {
            type: "plain-service",
            path: "/v1/ledger",
            progressTimeoutMillis: PROGRESS_TIMEOUT_MILLIS,
            targets: { ledger: createTarget(targetUrl) },
          },
        },
      },
    },
  });
}

/** Returns the name of an event. */
export function formatBenchEvent(index: number): string {
  return `bench-${index % BENCH_EVENTS}`;
}

function createEvent() {
  const shared = { deadlineMillis: DEADLINE_MILLIS, priority: "interactive" };
  const call = { ...shared, service: "ledger", flatTokens: 10 };
  return {
    budgetTokens: 1_000_000 * UNREACHED_LIMIT,
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
      requestsPerSecond: UNREACHED_LIMIT,
      tokensPerSecond: UNREACHED_LIMIT,
      concurrentRequests: UNREACHED_LIMIT,
    },
  };
}

function createTarget(url: string) {
  return { url, region: BENCH_REGION, dataCentre: "west-a", capacity: 100_000 };
}

function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
