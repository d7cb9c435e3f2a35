/** HTTP stand-ins of the store, the object store and the VM list. */
import { z } from "zod";
import { PlatformErrorKind, type RowWrite } from "../core/mod.ts";
import { type ListedVm, ListedVmState } from "../ports/mod.ts";
import {
  readBytes,
  readJson,
  type RunningServer,
  sendJson,
  startServer,
} from "./http_server.ts";
import { MemoryTable, type MemoryTableOptions } from "./memory_table.ts";

const READ_SCHEMA = z.object({ keys: z.array(z.string()) });
const SCAN_SCHEMA = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive().max(1_000),
});
const TRANSACT_SCHEMA = z.object({
  checks: z.array(z.object({ key: z.string(), version: z.number().int() })),
  writes: z.array(z.object({ key: z.string(), value: z.json().optional() })),
});

/** A running HTTP stand-in of the store, with access to its rows. */
export interface TableServer extends RunningServer {
  readonly table: MemoryTable;
}

/** Starts an HTTP stand-in of the store. */
export async function startTableServer(
  options: MemoryTableOptions & { readonly port?: number } = {},
): Promise<TableServer> {
  const table = new MemoryTable(options);
  const server = await startServer(async (request, response) => {
    const body = await readJson(request);
    const answer = await runTableCall(table, request.url ?? "", body);
    if (answer === "lost") response.destroy();
    else sendJson(response, answer.status, answer.body);
  }, options.port);
  return { ...server, table };
}

/** Status and JSON body of an answer. */
type TableAnswer = { readonly status: number; readonly body: unknown };

/** Executes a call; returns `"lost"` if no answer must be sent. */
async function runTableCall(
  table: MemoryTable,
  path: string,
  body: unknown,
): Promise<TableAnswer | "lost"> {
  if (path === "/v1/read") {
    const answer = await table.read(READ_SCHEMA.parse(body).keys);
    return answer.caseOf({
      Left: (error) => createErrorAnswer(error.kind),
      Right: (rows) => ({ status: 200, body: { rows } }),
    });
  }
  if (path === "/v1/scan") {
    const { prefix, after, limit } = SCAN_SCHEMA.parse(body);
    const options = after === undefined ? { limit } : { after, limit };
    const answer = await table.scan(prefix, options);
    return answer.caseOf({
      Left: (error) => createErrorAnswer(error.kind),
      Right: (page) => ({ status: 200, body: page }),
    });
  }
  if (path === "/v1/transact") {
    const { checks, writes } = TRANSACT_SCHEMA.parse(body);
    const answer = await table.transact({
      checks,
      writes: writes as RowWrite[],
    });
    return answer.caseOf<TableAnswer | "lost">({
      Left: (error) => createErrorAnswer(error.kind),
      Right: (outcome) => ({
        status: outcome.committed ? 200 : 409,
        body: outcome,
      }),
    });
  }
  return { status: 404, body: { error: `no call ${path}` } };
}

function createErrorAnswer(kind: PlatformErrorKind): TableAnswer | "lost" {
  if (kind === PlatformErrorKind.AnswerLost) return "lost";
  const status = kind === PlatformErrorKind.Throttled ? 429 : 503;
  return { status, body: { error: kind } };
}

/** Starts an object store over HTTP. */
export async function startObjectServer(
  options: { readonly port?: number } = {},
): Promise<RunningServer & { readonly objects: Map<string, Uint8Array> }> {
  const objects = new Map<string, Uint8Array>();
  const server = await startServer(async (request, response) => {
    const key = decodeURIComponent((request.url ?? "").split("/").at(-1) ?? "");
    if (request.method === "PUT") {
      objects.set(key, await readBytes(request));
      return sendJson(response, 200, {});
    }
    const body = objects.get(key);
    if (body === undefined) return sendJson(response, 404, {});
    response.writeHead(200, { "content-length": body.length });
    response.end(body);
  }, options.port);
  return { ...server, objects };
}

/** A running VM list whose entries can be changed. */
export interface VmListServer extends RunningServer {
  /** Adds a VM, or replaces the entry with the same id. */
  setVm(vm: ListedVm): void;
  removeVm(id: string): void;
}

/** Starts a VM list over HTTP. A PUT to `/v1/vms` replaces the list. */
export async function startVmListServer(
  options: { readonly port?: number } = {},
): Promise<VmListServer> {
  const vms = new Map<string, ListedVm>();
  const schema = z.object({
    vms: z.array(z.object({
      id: z.string(),
      address: z.string(),
      state: z.enum(ListedVmState),
    })),
  });
  const server = await startServer(async (request, response) => {
    if (request.method === "PUT") {
      const list = schema.parse(await readJson(request)).vms;
      vms.clear();
      for (const vm of list) vms.set(vm.id, vm);
    }
    sendJson(response, 200, { vms: [...vms.values()] });
  }, options.port);
  return {
    ...server,
    setVm: (vm) => void vms.set(vm.id, vm),
    removeVm: (id) => void vms.delete(id),
  };
}
