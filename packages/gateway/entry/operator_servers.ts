/** HTTP servers for the load balancer's readiness check and for operators. */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { GatewayContext } from "../gateway_context.ts";

/** What the servers report on. */
export interface OperatorServerOptions {
  readonly context: GatewayContext;
  isReady(): boolean;
}

/**
 * Creates the server of readiness checks, which answers `200` while this VM
 * should get new connections, else `503`.
 */
export function createReadinessServer(options: OperatorServerOptions): Server {
  return createServer((incoming, outgoing) => {
    incoming.resume();
    sendText(outgoing, {
      status: options.isReady() ? 200 : 503,
      type: "text/plain",
      body: options.isReady() ? "ready\n" : "not ready\n",
    });
  });
}

/** Creates the server of `/metrics` (Prometheus) and `/dump` (JSON state). */
export function createOperatorServer(options: OperatorServerOptions): Server {
  const { kernel, metrics } = options.context;
  return createServer((incoming, outgoing) => {
    incoming.resume();
    if (incoming.url === "/dump") {
      return sendText(outgoing, {
        status: 200,
        type: "application/json",
        body: JSON.stringify(kernel.readDump()),
      });
    }
    if (incoming.url !== "/metrics") {
      return sendText(outgoing, {
        status: 404,
        type: "text/plain",
        body: "There are /metrics and /dump.\n",
      });
    }
    void metrics.registry.metrics().then((body) =>
      sendText(outgoing, {
        status: 200,
        type: metrics.registry.contentType,
        body,
      })
    );
  });
}

function sendText(
  outgoing: ServerResponse,
  answer: {
    readonly status: number;
    readonly type: string;
    readonly body: string;
  },
): void {
  outgoing.writeHead(answer.status, { "content-type": answer.type });
  outgoing.end(answer.body);
}
