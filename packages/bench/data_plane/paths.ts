/**
 * The paths that are measured between load generator and target, and the
 * servers on them, which run on threads of their own.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";
import {
  chooseHomes,
  createMembershipView,
  type Member,
  MemberState,
} from "../../membership/mod.ts";
import {
  BENCH_EVENTS,
  BENCH_REGION,
  BenchKind,
  CUSTOMER_KEY,
  type EntryOptions,
  formatBenchEvent,
} from "./entry_server.ts";
import { findFreePort } from "./free_port.ts";
import type { RequestTemplate } from "./load_generator.ts";
import { startByteCounter } from "./byte_counter.ts";
import {
  ServerRole,
  type ServerThread,
  startServerThread,
} from "./server_thread.ts";

/** A path of requests from the load generator to the target. */
export interface LoadPath {
  readonly name: string;
  /** Thread of the entry VM or proxy in between; absent on the direct path. */
  readonly intermediary?: ServerThread;
  /** Returns the template of plain calls. */
  readonly createCalls: () => RequestTemplate;
  /** Returns the template of streams; `pause` between chunks is in ms. */
  readonly createStreams: (chunks: number, pause: number) => RequestTemplate;
}

/** Bytes in both directions, including HTTP headers. */
export interface PathBytes {
  readonly store: number;
  readonly peers: number;
}

/** The paths of one run and their running servers. */
export interface LoadPaths {
  readonly list: readonly LoadPath[];
  /**
   * Returns the bytes of the two entry VMs to the store and each other so far.
   */
  readonly readBytes: () => PathBytes;
  stop(): Promise<void>;
}

/** Name of the baseline path through the pass-through proxy. */
export const PASS_THROUGH = "pass-through";

/** Name of the path through an entry VM that is the event's home VM. */
export const ENTRY = "entry";

/**
 * Name of the path through an entry VM that forwards to the event's home VM.
 */
export const FORWARDED = "entry, then home";

const ENTRY_VM = "bench-0";
const BACKUP_VM = "bench-1";

/** Time for the two daemons to learn of each other by gossip. */
const MEMBERSHIP_SETTLE_MILLIS = 1_500;

/** Starts target, store, pass-through proxy and two entry VMs. */
export async function startPaths(): Promise<LoadPaths> {
  const target = await startServerThread({ role: ServerRole.Target });
  const table = await startServerThread({ role: ServerRole.Table });
  const storeCounter = await startByteCounter(Number(new URL(table.url).port));
  const common = { targetUrl: target.url };
  const passThrough = await startServerThread({
    role: ServerRole.PassThrough,
    ...common,
  });
  const tableUrl = `http://${storeCounter.address}`;
  const entryPair = await startEntryPair({ tableUrl, ...common });
  const { entry, backup, peerCounters } = entryPair;
  return {
    list: [
      createPlainPath("direct", target.url),
      {
        ...createPlainPath(PASS_THROUGH, passThrough.url),
        intermediary: passThrough,
      },
      createEntryPath(ENTRY, { entry, event: findEventWithHome(ENTRY_VM) }),
      createEntryPath(FORWARDED, {
        entry,
        event: findEventWithHome(BACKUP_VM),
      }),
    ],
    readBytes: () => ({
      store: storeCounter.readBytes(),
      peers: peerCounters.reduce((sum, each) => sum + each.readBytes(), 0),
    }),
    stop: async () => {
      const threads = [entry, backup, passThrough, table, target];
      for (const thread of threads) await thread.stop();
      for (const each of [storeCounter, ...peerCounters]) await each.stop();
    },
  };
}

/** Returns the body of a chat request that selects a stream of the target. */
export function createStreamBody(chunks: number, pause: number): string {
  const content = `Please write it. chunks=${chunks} pause=${pause}`;
  return JSON.stringify({
    model: "m",
    stream: true,
    messages: [{ role: "user", content }],
  });
}

/** Body of a small call to a plain service. */
export const CALL_BODY = JSON.stringify({ depot: "kosice", litres: 120 });

function createPlainPath(name: string, url: string): LoadPath {
  return {
    name,
    createCalls: () => ({ url, headers: {}, createBody: () => CALL_BODY }),
    createStreams: (chunks, pause) => {
      const body = createStreamBody(chunks, pause);
      return { url, headers: {}, createBody: () => body };
    },
  };
}

/**
 * Starts two entry VMs, so that each has a peer to keep copies of its bills.
 */
async function startEntryPair(input: EntryOptions) {
  const ports = [await findFreePort(), await findFreePort()];
  const peerCounters = await Promise.all(ports.map(startByteCounter));
  const addresses = peerCounters.map((each) => each.address);
  const start = (vm: string, index: number) =>
    startServerThread({
      role: ServerRole.Entry,
      ...input,
      fleet: {
        vm,
        peerPort: ports[index]!,
        advertise: addresses[index]!,
        seeds: addresses.slice(0, index),
      },
    });
  const entry = await start(ENTRY_VM, 0);
  const backup = await start(BACKUP_VM, 1);
  await wait(MEMBERSHIP_SETTLE_MILLIS);
  return { entry, backup, peerCounters };
}

/** Returns an event whose home VM is the given one. */
function findEventWithHome(vm: string): string {
  const members = [ENTRY_VM, BACKUP_VM].map((each) => createBenchMember(each));
  const view = createMembershipView(members[0]!);
  const fleetView = {
    ...view,
    members: view.members.add(BACKUP_VM, members[1]!),
  };
  const index = Array.from({ length: BENCH_EVENTS }).findIndex((_, at) =>
    chooseHomes(fleetView, {
      eventId: formatBenchEvent(at),
      region: BENCH_REGION,
      homes: 1,
    })[0] === vm
  );
  return formatBenchEvent(index);
}

function createBenchMember(vm: string): Member {
  return {
    vm,
    incarnation: "1",
    state: MemberState.Live,
    region: BENCH_REGION,
    dataCentre: "",
    peerAddress: "",
    callerAddress: "",
    documentVersion: 1,
    heardAt: 0,
  };
}

function createEntryPath(
  name: string,
  input: { readonly entry: ServerThread; readonly event: string },
): LoadPath {
  const { entry, event } = input;
  const { url } = entry;
  return {
    name,
    intermediary: entry,
    createCalls: () =>
      createEntryLoad({ url, event }, BenchKind.Lookup, CALL_BODY),
    createStreams: (chunks, pause) => {
      const body = createStreamBody(chunks, pause);
      return createEntryLoad({ url, event }, BenchKind.Chat, body);
    },
  };
}

/**
 * Returns the template of requests of one kind to an entry VM. Every request
 * has its own request key.
 */
export function createEntryLoad(
  entry: { readonly url: string; readonly event: string },
  kind: BenchKind,
  body: string,
): RequestTemplate {
  const path = kind === BenchKind.Chat ? "/v1/chat/completions" : "/v1/calls";
  const run = randomUUID();
  return {
    url: `${entry.url}${path}`,
    headers: {
      authorization: `Bearer ${CUSTOMER_KEY}`,
      "x-anvilrail-event": entry.event,
      "x-anvilrail-kind": kind,
    },
    createBody: () => body,
    createHeaders: (index) => ({ "idempotency-key": `${run}-${index}` }),
  };
}
