/** A small HTTP server for the stand-ins, with helpers for JSON bodies. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/**
 * Answers one request. If it rejects, the server answers with status 400, or
 * closes the connection if the answer's head has been sent.
 */
export type StandInHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** A running stand-in server. */
export interface RunningServer {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Address in the form `host:port`. */
  readonly address: string;
  /** Closes the server and all its connections immediately. */
  stop(): Promise<void>;
}

/** Starts a server on the loopback interface; port 0 lets the kernel choose. */
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

/** Reads the complete body of a request. */
export async function readBytes(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Reads the body of a request as JSON; an empty body counts as `{}`. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const bytes = await readBytes(request);
  return bytes.length === 0 ? {} : JSON.parse(bytes.toString("utf8"));
}

/** Sends an answer with a JSON body. */
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
