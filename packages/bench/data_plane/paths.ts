/** The ways a request can take, each with its servers on threads. */
import { randomUUID } from "node:crypto";
import { BenchKind, CUSTOMER_KEY } from "./entry_server.ts";
import type { LoadTarget } from "./load_generator.ts";
import { startByteCounter } from "./byte_counter.ts";
import { Role, type RoleThread, startRole } from "./role_thread.ts";

/** One way from the load generator to the target. */
export interface LoadPath {
  readonly name: string;
  /** Thread in the middle; absent where there is none. */
  readonly middle?: RoleThread;
  /** Returns the load of plain calls. */
  readonly createCalls: () => LoadTarget;
  /** Returns the load of streams with so many chunks and pauses in ms. */
  readonly createStreams: (chunks: number, pause: number) => LoadTarget;
}

/** All paths of one run. */
export interface LoadPaths {
  readonly list: readonly LoadPath[];
  /** Bytes that the entry and the table exchanged since the start. */
  readonly readStoreBytes: () => number;
  stop(): Promise<void>;
}

/** Name of the baseline. */
export const PASS_THROUGH = "pass-through";

/** Name of the path through the daemon. */
export const ENTRY = "entry";

/** Starts target, pass-through and entry. */
export async function startPaths(): Promise<LoadPaths> {
  const target = await startRole({ role: Role.Target });
  const table = await startRole({ role: Role.Table });
  const counter = await startByteCounter(Number(new URL(table.url).port));
  const common = { targetUrl: target.url };
  const middle = await startRole({ role: Role.PassThrough, ...common });
  const tableUrl = `http://${counter.address}`;
  const entry = await startRole({ role: Role.Entry, tableUrl, ...common });
  return {
    list: [
      createBarePath("direct", target.url),
      { ...createBarePath(PASS_THROUGH, middle.url), middle },
      createEntryPath(entry),
    ],
    readStoreBytes: () => counter.readBytes(),
    stop: async () => {
      for (const thread of [entry, middle, table, target]) await thread.stop();
      await counter.stop();
    },
  };
}

/** Returns the body of a chat request that orders a stream from the target. */
export function createStreamBody(chunks: number, pause: number): string {
  const content = `Please write it. chunks=${chunks} pause=${pause}`;
  return JSON.stringify({
    model: "m",
    stream: true,
    messages: [{ role: "user", content }],
  });
}

/** Body of a small plain call. */
export const CALL_BODY = JSON.stringify({ depot: "kosice", litres: 120 });

function createBarePath(name: string, url: string): LoadPath {
  return {
    name,
    createCalls: () => ({ url, headers: {}, createBody: () => CALL_BODY }),
    createStreams: (chunks, pause) => {
      const body = createStreamBody(chunks, pause);
      return { url, headers: {}, createBody: () => body };
    },
  };
}

function createEntryPath(entry: RoleThread): LoadPath {
  return {
    name: ENTRY,
    middle: entry,
    createCalls: () => createEntryLoad(entry, BenchKind.Lookup, CALL_BODY),
    createStreams: (chunks, pause) =>
      createEntryLoad(entry, BenchKind.Chat, createStreamBody(chunks, pause)),
  };
}

/** Returns the load of one kind at the entry, each request under its own key. */
export function createEntryLoad(
  entry: RoleThread,
  kind: BenchKind,
  body: string,
): LoadTarget {
  const path = kind === BenchKind.Chat ? "/v1/chat/completions" : "/v1/calls";
  const run = randomUUID();
  return {
    url: `${entry.url}${path}`,
    headers: {
      authorization: `Bearer ${CUSTOMER_KEY}`,
      "x-anvilrail-event": "bench",
      "x-anvilrail-kind": kind,
    },
    createBody: () => body,
    createHeaders: (index) => ({ "idempotency-key": `${run}-${index}` }),
  };
}
