/** Listens on one face of the daemon, with or without TLS. */
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
import type { ServerSettings, Settings } from "../settings/mod.ts";

/** Answers requests of one face. */
export type FaceHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A face that listens. */
export interface RunningFace {
  /** `host:port` that others use. */
  readonly address: string;
  readonly server: Server;
  /** Stops listening; resolves when every connection is closed. */
  close(): Promise<void>;
  /** Closes every connection at once. */
  destroy(): void;
}

const HEADERS_TIMEOUT_MILLIS = 10_000;
const KEEP_ALIVE_MILLIS = 30_000;

/** Starts listening; rejects when the address cannot be had. */
export async function startFace(
  face: ServerSettings,
  input: {
    readonly limits: Settings["limits"];
    readonly handler: FaceHandler;
  },
): Promise<RunningFace> {
  const server = createFaceServer(face, input);
  server.maxConnections = input.limits.maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(face.port, face.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: face.advertise ?? `${face.host}:${port}`,
    server,
    close: () => closeServer(server),
    destroy: () => server.closeAllConnections(),
  };
}

function createFaceServer(
  face: ServerSettings,
  input: {
    readonly limits: Settings["limits"];
    readonly handler: FaceHandler;
  },
): Server {
  const options: ServerOptions = {
    maxHeaderSize: input.limits.maxHeaderBytes,
    headersTimeout: HEADERS_TIMEOUT_MILLIS,
    keepAliveTimeout: KEEP_ALIVE_MILLIS,
    // The entry watches slow bodies itself, to answer them in its own words.
    requestTimeout: 0,
  };
  if (face.tls === undefined) return createServer(options, input.handler);
  const { requireClientCertificate } = face.tls;
  const mutual = {
    requestCert: requireClientCertificate,
    rejectUnauthorized: requireClientCertificate,
  };
  const tls = { ...options, ...readTlsFiles(face.tls), ...mutual };
  return createTlsServer(tls, input.handler);
}

/** Certificate, key and trusted authorities of a face. */
export interface TlsFiles {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
}

/** Reads the files of a face's TLS settings. */
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

/** Returns an agent that calls a face of another VM as its TLS settings say. */
export function createVmAgent(
  face: ServerSettings,
  options: { readonly maxSockets?: number } = {},
): Agent {
  const kept = { keepAlive: true, ...options };
  if (face.tls === undefined) return new Agent(kept);
  return new TlsAgent({ ...kept, ...readTlsFiles(face.tls) });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
