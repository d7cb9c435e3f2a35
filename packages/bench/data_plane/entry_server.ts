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

const PLENTY = 1_000_000_000;
const DEADLINE_MILLIS = 3_600_000;
const SILENCE_MILLIS = 600_000;

/** Events of the document; their homes spread over a fleet. */
export const BENCH_EVENTS = 40;

/** Where an entry stands in a fleet. */
export interface EntryPlace {
  readonly vm: string;
  readonly peerPort: number;
  /** Peer address that others use. */
  readonly advertise: string;
  readonly seeds: readonly string[];
}

/** What an entry is started with. */
export interface EntryInput {
  readonly targetUrl?: string;
  /** Base URL of the table service. */
  readonly tableUrl?: string;
  /** Puts a sample configuration of this size in force. */
  readonly size?: FleetSize;
  /** Alone if absent. */
  readonly place?: EntryPlace;
  /** Takes the configuration from the table's document instead. */
  readonly followsTable?: boolean;
}

/** Starts the daemon. */
export async function startEntry(input: EntryInput): Promise<RunningDaemon> {
  const { targetUrl = "", size } = input;
  const daemon = await startDaemon(createSettings(input), {
    log: createSilentLog(),
  });
  if (input.followsTable === true) return daemon;
  const configuration = size === undefined
    ? parseDocument(createDocument(targetUrl), "bench").unsafeCoerce()
    : createSampleConfiguration(size, targetUrl);
  daemon.applyConfiguration({ ...configuration, version: 1 });
  return daemon;
}

function createSettings(input: EntryInput) {
  const { tableUrl = "", place } = input;
  const face = { host: "127.0.0.1", port: 0 };
  const peers = place === undefined
    ? face
    : { ...face, port: place.peerPort, advertise: place.advertise };
  return SETTINGS_SCHEMA.parse({
    vm: place?.vm ?? "bench-0",
    region: BENCH_REGION,
    dataCentre: "west-a",
    callers: face,
    operators: face,
    peers,
    peerKey: "bench-peer-key-0123",
    seeds: place?.seeds ?? [],
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

/** Returns the name of an event. */
export function formatBenchEvent(index: number): string {
  return `bench-${index % BENCH_EVENTS}`;
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
  return { url, region: BENCH_REGION, dataCentre: "west-a", capacity: 100_000 };
}

function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
