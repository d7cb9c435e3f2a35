/** The operators' face: health, metrics, the state dump, and the document. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { FleetConfiguration } from "../../core/mod.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";

/** Answers operators. */
export class OperatorFace {
  readonly #context: NodeContext;

  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Handles one HTTP request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    void this.#serve(request, response);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url?.split("?")[0];
    if (path === "/healthz") return send(response, 200, "ok\n");
    const { kernel, metrics } = this.#context;
    if (!isOperator(kernel.read(CONFIGURATION), request)) {
      return send(response, 401, "Send a team key as a bearer token.\n");
    }
    if (path === "/metrics") {
      return send(response, 200, await metrics.registry.metrics());
    }
    if (path === "/v1/dump") {
      const dump = JSON.stringify(kernel.readDump(), null, 2);
      return send(response, 200, dump, "application/json");
    }
    send(response, 404, "There is nothing at this path.\n");
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

/** Says whether the request carries the key of any team. */
function isOperator(
  configuration: FleetConfiguration,
  request: IncomingMessage,
): boolean {
  const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
  if (key === undefined) return false;
  const hash = createHash("sha256").update(key).digest();
  return [...configuration.teams.values()]
    .flatMap((team) => team.keyHashes)
    .some((each) => {
      const known = Buffer.from(each, "hex");
      return known.length === hash.length && timingSafeEqual(known, hash);
    });
}
