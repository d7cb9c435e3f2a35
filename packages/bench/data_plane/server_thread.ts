/**
 * Starts servers on worker threads. Target, entry VM and load generator thus
 * each have their own core and heap, so their usage can be measured apart.
 */
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from "node:worker_threads";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { measureHeap } from "../capacity/measure_calls.ts";
import { startTableServer } from "../../stand_ins/mod.ts";
import { type EntryOptions, startEntry } from "./entry_server.ts";
import { createMinimalTarget } from "./minimal_target.ts";
import { createPassThrough } from "./pass_through.ts";

/** The server that a thread runs. */
export enum ServerRole {
  Target = "target",
  PassThrough = "pass-through",
  Entry = "entry",
  Table = "table",
}

/** Input of a server thread, passed as its worker data. */
export interface ServerThreadInput extends EntryOptions {
  readonly role: ServerRole;
}

/** Resource usage of a server thread. */
export interface ThreadUsage {
  /** Event loop utilization since the last reading, from 0 to 1. */
  readonly utilization: number;
  /** Heap in use after a garbage collection; 0 if none was requested. */
  readonly heapBytes: number;
}

/** A running server thread. */
export interface ServerThread {
  readonly url: string;
  /** URL of the operator server of an entry VM; empty for other roles. */
  readonly operatorUrl: string;
  /**
   * Reads the thread's usage. With `collect`, garbage is collected first and
   * the heap is measured.
   */
  readUsage(options: { readonly collect: boolean }): Promise<ThreadUsage>;
  stop(): Promise<void>;
}

interface ServerUrls {
  readonly url: string;
  readonly operatorUrl: string;
}

type ThreadMessage =
  | ({ readonly kind: "ready" } & ServerUrls)
  | { readonly kind: "usage"; readonly usage: ThreadUsage };

/** Starts a server on a new thread and resolves when it listens. */
export async function startServerThread(
  input: ServerThreadInput,
): Promise<ServerThread> {
  const worker = new Worker(new URL(import.meta.url), { workerData: input });
  const ready = await waitForMessage(worker, "ready");
  return {
    url: ready.url,
    operatorUrl: ready.operatorUrl,
    readUsage: async (options) => {
      const answer = waitForMessage(worker, "usage");
      worker.postMessage(options);
      return (await answer).usage;
    },
    stop: async () => void await worker.terminate(),
  };
}

function waitForMessage<Kind extends ThreadMessage["kind"]>(
  worker: Worker,
  kind: Kind,
): Promise<Extract<ThreadMessage, { kind: Kind }>> {
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    const listen = (message: ThreadMessage) => {
      if (message.kind !== kind) return;
      worker.off("message", listen);
      worker.off("error", reject);
      resolve(message as Extract<ThreadMessage, { kind: Kind }>);
    };
    worker.on("message", listen);
  });
}

async function startServer(input: ServerThreadInput): Promise<ServerUrls> {
  const operatorUrl = "";
  switch (input.role) {
    case ServerRole.Target:
      return { url: await listen(createMinimalTarget()), operatorUrl };
    case ServerRole.PassThrough: {
      const server = createPassThrough(input.targetUrl ?? "");
      return { url: await listen(server), operatorUrl };
    }
    case ServerRole.Entry: {
      const daemon = await startEntry(input);
      return {
        url: `http://${daemon.callerAddress}`,
        operatorUrl: `http://${daemon.operatorAddress}`,
      };
    }
    case ServerRole.Table:
      return { url: (await startTableServer()).url, operatorUrl };
  }
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) =>
    server.listen({ port: 0, host: "127.0.0.1", backlog: 2_048 }, resolve)
  );
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

async function runServer(input: ServerThreadInput): Promise<void> {
  const urls = await startServer(input);
  let last = performance.eventLoopUtilization();
  parentPort?.on("message", (options: { readonly collect: boolean }) => {
    const now = performance.eventLoopUtilization();
    const utilization = performance.eventLoopUtilization(now, last).utilization;
    last = now;
    const heapBytes = options.collect ? measureHeap() : 0;
    send({ kind: "usage", usage: { utilization, heapBytes } });
  });
  send({ kind: "ready", ...urls });
}

function send(message: ThreadMessage): void {
  parentPort?.postMessage(message);
}

if (!isMainThread && isThreadInput(workerData)) await runServer(workerData);

function isThreadInput(value: unknown): value is ServerThreadInput {
  return typeof value === "object" && value !== null && "role" in value;
}
