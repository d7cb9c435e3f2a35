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
import { type EntryInput, startEntry } from "./entry_server.ts";
import { createLeanTarget } from "./lean_target.ts";
import { createPassThrough } from "./pass_through.ts";

/** What a thread does. */
export enum Role {
  Target = "target",
  PassThrough = "pass-through",
  Entry = "entry",
  Table = "table",
}

/** What a thread is told at its start. */
export interface RoleInput extends EntryInput {
  readonly role: Role;
}

/** What a thread says of itself. */
export interface RoleUsage {
  /** Share of the time since the last reading in which it was busy. */
  readonly busy: number;
  /** Bytes on its heap after a collection. */
  readonly heapBytes: number;
}

/** A role on its thread. */
export interface RoleThread {
  readonly url: string;
  /** The operators' face of an entry; empty for other roles. */
  readonly operatorUrl: string;
  /** Measures the thread; `collect` first collects garbage. */
  readUsage(options: { readonly collect: boolean }): Promise<RoleUsage>;
  stop(): Promise<void>;
}

interface RoleUrls {
  readonly url: string;
  readonly operatorUrl: string;
}

type RoleMessage =
  | ({ readonly kind: "ready" } & RoleUrls)
  | { readonly kind: "usage"; readonly usage: RoleUsage };

/** Starts a role on a new thread. */
export async function startRole(input: RoleInput): Promise<RoleThread> {
  const worker = new Worker(new URL(import.meta.url), { workerData: input });
  const ready = await receive(worker, "ready");
  return {
    url: ready.url,
    operatorUrl: ready.operatorUrl,
    readUsage: async (options) => {
      const answer = receive(worker, "usage");
      worker.postMessage(options);
      return (await answer).usage;
    },
    stop: async () => void await worker.terminate(),
  };
}

function receive<Kind extends RoleMessage["kind"]>(
  worker: Worker,
  kind: Kind,
): Promise<Extract<RoleMessage, { kind: Kind }>> {
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    const listen = (message: RoleMessage) => {
      if (message.kind !== kind) return;
      worker.off("message", listen);
      worker.off("error", reject);
      resolve(message as Extract<RoleMessage, { kind: Kind }>);
    };
    worker.on("message", listen);
  });
}

async function startServing(input: RoleInput): Promise<RoleUrls> {
  const operatorUrl = "";
  switch (input.role) {
    case Role.Target:
      return { url: await listen(createLeanTarget()), operatorUrl };
    case Role.PassThrough: {
      const server = createPassThrough(input.targetUrl ?? "");
      return { url: await listen(server), operatorUrl };
    }
    case Role.Entry: {
      const daemon = await startEntry(input);
      return {
        url: `http://${daemon.callerAddress}`,
        operatorUrl: `http://${daemon.operatorAddress}`,
      };
    }
    case Role.Table:
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

async function serveRole(input: RoleInput): Promise<void> {
  const urls = await startServing(input);
  let last = performance.eventLoopUtilization();
  parentPort?.on("message", (options: { readonly collect: boolean }) => {
    const now = performance.eventLoopUtilization();
    const busy = performance.eventLoopUtilization(now, last).utilization;
    last = now;
    const heapBytes = options.collect ? measureHeap() : 0;
    send({ kind: "usage", usage: { busy, heapBytes } });
  });
  send({ kind: "ready", ...urls });
}

function send(message: RoleMessage): void {
  parentPort?.postMessage(message);
}

if (!isMainThread && isRoleInput(workerData)) await serveRole(workerData);

function isRoleInput(value: unknown): value is RoleInput {
  return typeof value === "object" && value !== null && "role" in value;
}
