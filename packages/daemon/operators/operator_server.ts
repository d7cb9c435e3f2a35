/**
 * HTTP API for operators: health check, metrics, state dump and administration
 * API. Everything except the health check requires a key.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  AdminHttpHandler,
  type AdminPorts,
  findCaller,
  parseBearer,
} from "../../admin/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";

/** Handles the HTTP requests of operators. */
export class OperatorServer {
  readonly #context: NodeContext;
  readonly #admin: AdminHttpHandler;

  constructor(context: NodeContext, ports: AdminPorts) {
    this.#context = context;
    this.#admin = new AdminHttpHandler({
      ports,
      readFleetKeyHashes: () => context.settings.fleetKeyHashes,
    });
  }

  /** Handles one HTTP request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    response.on("error", () => response.destroy());
    this.#serve(request, response).catch((error) => {
      this.#context.log.error(LogEvent.ProcessFailed, {
        process: "operator_face",
        reason: String(error),
      });
      response.destroy();
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url?.split("?")[0];
    if (path === "/healthz") return send(response, 200, "ok\n");
    if (await this.#admin.serve(request, response)) return;
    if (!this.#isOperator(request)) {
      return send(response, 401, "Send a team key as a bearer token.\n");
    }
    const { kernel } = this.#context;
    if (path === "/metrics") {
      return send(response, 200, await this.#readMetrics());
    }
    if (path === "/v1/dump") {
      const dump = JSON.stringify(kernel.readDump(), null, 2);
      return send(response, 200, dump, "application/json");
    }
    send(response, 404, "There is nothing at this path.\n");
  }

  /** Updates the gauges of the store and returns all metrics as text. */
  #readMetrics(): Promise<string> {
    const { metrics, writer } = this.#context;
    const counts = writer.readCounts();
    metrics.storeRowsWritten.set(counts.rowsWritten);
    metrics.storeTransactions.set(counts.transactions);
    metrics.storeWaiting.set(counts.waiting);
    return metrics.registry.metrics();
  }

  #isOperator(request: IncomingMessage): boolean {
    const key = parseBearer(request.headers.authorization);
    if (key === undefined) return false;
    const caller = findCaller(key, {
      configuration: this.#context.kernel.read(CONFIGURATION),
      fleetKeyHashes: this.#context.settings.fleetKeyHashes,
    });
    return caller !== undefined;
  }
}

function send(
  response: ServerResponse,
  status: number,
  body: string,
  contentType = "text/plain",
): void {
  response.writeHead(status, { "content-type": contentType });
  response.end(body);
}
