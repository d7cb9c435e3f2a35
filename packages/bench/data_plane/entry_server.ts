/**
 * Starts a daemon as entry VM, with the minimal target as its only target and
 * budgets and limits that the load does not reach.
 */
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

/** API key of the only customer. */
export const CUSTOMER_KEY = "bench-customer-key";

/** Key of the only team, for the admin API. */
export const TEAM_KEY = "bench-team-key";

/** Request kinds that every event has. */
export enum BenchKind {
  Chat = "chat",
  Lookup = "lookup",
  Refuel = "refuel",
}

/** Region of all entry VMs and targets. */
export const BENCH_REGION = "west";

const UNREACHED_LIMIT = 1_000_000_000;
const DEADLINE_MILLIS = 3_600_000;
const PROGRESS_TIMEOUT_MILLIS = 600_000;

/** Number of events in the document; their home VMs spread over the fleet. */
export const BENCH_EVENTS = 40;

/** Identity and peer addresses of an entry VM in a fleet. */
export interface EntryFleetOptions {
  readonly vm: string;
  readonly peerPort: number;
  /** Address at which peers connect to this VM. */
  readonly advertise: string;
  /** Peer addresses of VMs to join. */
  readonly seeds: readonly string[];
}

/** Options of an entry VM. */
export interface EntryOptions {
  readonly targetUrl?: string;
  /** Base URL of the store's table service. */
  readonly tableUrl?: string;
  /** Applies a sample configuration of this size. */
  readonly size?: FleetSize;
  /** The VM runs without peers if absent. */
  readonly fleet?: EntryFleetOptions;
  /** Takes the configuration from the document in the store instead. */
  readonly followsStoredDocument?: boolean;
}

/** Starts the daemon and applies its configuration. */
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

/** Returns the id of an event; indexes wrap around. */
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
