/**
 * Servers on threads of their own, so that the target, the entry and the load
 * generator each have a core and a heap, and each one's load can be read.
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

/** What a thread does. */
export enum ServerRole {
  Target = "target",
  PassThrough = "pass-through",
  Entry = "entry",
  Table = "table",
}

/** What a thread is told at its start. */
export interface ServerThreadInput extends EntryOptions {
  readonly role: ServerRole;
}

/** What a thread says of itself. */
export interface ThreadUsage {
  /** Share of the time since the last reading in which it was busy. */
  readonly utilization: number;
  /** Bytes on its heap after a collection. */
  readonly heapBytes: number;
}

/** A role on its thread. */
export interface ServerThread {
  readonly url: string;
  /** The operators' face of an entry; empty for other roles. */
  readonly operatorUrl: string;
  /** Measures the thread; `collect` first collects garbage. */
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

/** Starts a role on a new thread. */
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
