/** HTTP servers of the daemon, with or without TLS, and agents that call them. */
import { readFileSync } from "node:fs";
import {
  Agent,
  createServer,
  type Server,
  type ServerOptions,
} from "node:http";
import { Agent as TlsAgent, createServer as createTlsServer } from "node:https";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { registerIdleClose, UnsentAnswers } from "../runtime/mod.ts";
import type { ServerSettings, Settings } from "../settings/mod.ts";

/** Handles the requests of one server. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A server that is listening. */
export interface RunningServer {
  /** The `host:port` at which others reach the server. */
  readonly address: string;
  readonly server: Server;
  /**
   * Stops listening; resolves when all answers are sent and every connection is
   * closed.
   */
  close(): Promise<void>;
  /** Closes every connection at once. */
  destroy(): void;
}

const HEADERS_TIMEOUT_MILLIS = 10_000;
const KEEP_ALIVE_MILLIS = 30_000;

/** Starts a server; rejects when it cannot listen on the address. */
export async function startServer(
  settings: ServerSettings,
  input: {
    readonly limits: Settings["limits"];
    readonly handler: RequestHandler;
  },
): Promise<RunningServer> {
  const server = createHttpServer(settings, input);
  registerIdleClose(server);
  const unsentAnswers = new UnsentAnswers(server);
  server.maxConnections = input.limits.maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(settings.port, settings.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: settings.advertise ?? `${settings.host}:${port}`,
    server,
    close: () =>
      new Promise((resolve) => {
        server.once("close", resolve);
        unsentAnswers.stopListening();
      }),
    destroy: () => server.closeAllConnections(),
  };
}

function createHttpServer(
  settings: ServerSettings,
  input: {
    readonly limits: Settings["limits"];
    readonly handler: RequestHandler;
  },
): Server {
  const options: ServerOptions = {
    maxHeaderSize: input.limits.maxHeaderBytes,
    headersTimeout: HEADERS_TIMEOUT_MILLIS,
    keepAliveTimeout: KEEP_ALIVE_MILLIS,
    // The caller API has its own timeout for slow bodies, so that it can answer
    // with its own refusal.
    requestTimeout: 0,
  };
  if (settings.tls === undefined) return createServer(options, input.handler);
  const { requireClientCertificate } = settings.tls;
  const clientAuthentication = {
    requestCert: requireClientCertificate,
    rejectUnauthorized: requireClientCertificate,
  };
  const tls = {
    ...options,
    ...readTlsFiles(settings.tls),
    ...clientAuthentication,
  };
  return createTlsServer(tls, input.handler);
}

/** Contents of the certificate, key and trusted authority files. */
export interface TlsFiles {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

/** Reads the files named by a server's TLS settings. */
export function readTlsFiles(
  tls: NonNullable<ServerSettings["tls"]>,
): TlsFiles {
  const { certificateFile, keyFile, authorityFile } = tls;
  return {
    cert: readFileSync(certificateFile),
    key: readFileSync(keyFile),
    ...(authorityFile === undefined ? {} : { ca: readFileSync(authorityFile) }),
  };
}

/**
 * Returns an agent for calls to the same kind of server on other VMs, with the
 * certificate and authorities of this VM's own server settings.
 */
export function createVmAgent(
  settings: ServerSettings,
  options: { readonly maxSockets?: number } = {},
): Agent {
  const agentOptions = { keepAlive: true, ...options };
  if (settings.tls === undefined) return new Agent(agentOptions);
  return new TlsAgent({ ...agentOptions, ...readTlsFiles(settings.tls) });
}
