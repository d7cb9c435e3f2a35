/** A small HTTP server for stand-ins: JSON in, JSON out, port by the kernel. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Answers one request; what it throws becomes a status of 400. */
export type StandInHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** A running stand-in. */
export interface RunningServer {
  /** Base URL without a slash at the end. */
  readonly url: string;
  /** `host:port`. */
  readonly address: string;
  /** Closes the server and every connection at once. */
  stop(): Promise<void>;
}

/** Starts a server on the loopback interface. */
export async function startServer(
  handler: StandInHandler,
  port = 0,
): Promise<RunningServer> {
  const server = createServer((request, response) => {
    handler(request, response).catch((error) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, { error: String(error) });
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  const { port: bound } = server.address() as AddressInfo;
  const address = `127.0.0.1:${bound}`;
  return { url: `http://${address}`, address, stop: () => closeServer(server) };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a whole request body. */
export async function readBytes(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Reads a request body as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const bytes = await readBytes(request);
  return bytes.length === 0 ? {} : JSON.parse(bytes.toString("utf8"));
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
