/**
 * The operators' face: health, metrics, the state dump, and the administration
 * API. Nothing but health is open without a key.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import createRouter from "find-my-way";
import readRawBody from "raw-body";
import {
  ADMIN_ROUTES,
  type AdminAnswer,
  AdminErrorKind,
  type AdminPorts,
  type AdminRoute,
  type Caller,
  createErrorAnswer,
  findCaller,
  parseBearer,
  runRoute,
} from "../../admin/mod.ts";
import { LogEvent } from "../event_log.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";

/** Answers operators. */
export class OperatorFace {
  readonly #context: NodeContext;
  readonly #ports: AdminPorts;
  readonly #router = createRouter({ ignoreTrailingSlash: true });

  constructor(context: NodeContext, ports: AdminPorts) {
    this.#context = context;
    this.#ports = ports;
    for (const route of ADMIN_ROUTES) {
      // The router carries the route; requests are answered below.
      this.#router.on(route.method, route.path, () => route, route);
    }
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
    const url = new URL(request.url ?? "/", "http://operators");
    if (url.pathname === "/healthz") return sendText(response, 200, "ok\n");
    const caller = this.#findCaller(request);
    if (caller === undefined) return sendAnswer(response, UNAUTHORIZED);
    const { kernel, metrics } = this.#context;
    if (url.pathname === "/metrics") {
      return sendText(response, 200, await metrics.registry.metrics());
    }
    if (url.pathname === "/v1/dump") {
      const body = JSON.parse(JSON.stringify(kernel.readDump()));
      return sendAnswer(response, { status: 200, body });
    }
    sendAnswer(response, await this.#runRoute(request, { url, caller }));
  }

  #findCaller(request: IncomingMessage): Caller | undefined {
    const key = parseBearer(request.headers.authorization);
    if (key === undefined) return undefined;
    return findCaller(key, {
      configuration: this.#context.kernel.read(CONFIGURATION),
      fleetKeyHashes: this.#context.settings.fleetKeyHashes,
    });
  }

  async #runRoute(
    request: IncomingMessage,
    input: { readonly url: URL; readonly caller: Caller },
  ): Promise<AdminAnswer> {
    const { url, caller } = input;
    const method = request.method as AdminRoute["method"];
    const found = this.#router.find(method, url.pathname);
    if (found === null) return NOT_FOUND;
    const body = await this.#readBody(request);
    if ("fault" in body) return createBadBody(body.fault);
    return await runRoute(found.store as AdminRoute, {
      caller,
      params: found.params as Record<string, string>,
      query: Object.fromEntries(url.searchParams),
      body: body.value,
      requestId: randomUUID(),
    }, this.#ports);
  }

  async #readBody(
    request: IncomingMessage,
  ): Promise<{ readonly value: unknown } | { readonly fault: string }> {
    const { maxOperatorBodyBytes } = this.#context.settings.limits;
    try {
      const bytes = await readRawBody(request, { limit: maxOperatorBodyBytes });
      if (bytes.length === 0) return { value: undefined };
      return { value: JSON.parse(bytes.toString("utf8")) };
    } catch (error) {
      return { fault: error instanceof Error ? error.message : String(error) };
    }
  }
}

const UNAUTHORIZED = createErrorAnswer({
  kind: AdminErrorKind.Unauthorized,
  message: "This needs the key of a team or of the fleet's operators.",
  remedy: "Send the key as a bearer token in the authorization header.",
});

const NOT_FOUND = createErrorAnswer({
  kind: AdminErrorKind.NotFound,
  message: "There is nothing at this path for this method.",
  remedy: "See docs/ADMIN_API.md for the routes.",
});

function createBadBody(fault: string): AdminAnswer {
  return createErrorAnswer({
    kind: AdminErrorKind.BadRequest,
    message: `The body cannot be read: ${fault}`,
    remedy: "Send JSON that is not larger than maxOperatorBodyBytes.",
  });
}

function sendAnswer(response: ServerResponse, answer: AdminAnswer): void {
  const body = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

function sendText(
  response: ServerResponse,
  status: number,
  body: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(body);
}
