/**
 * Callers outside the control of the system's operators, for tests of a VM's
 * process: they send large bodies in any chunks, and keep their connections open.
 */
import { connect, type Socket } from "node:net";
import type { Bytes } from "../core/mod.ts";

/** Size of one write, so that a caller never waits for many small ones. */
const WRITE_BYTES: Bytes = 65_536;

/** What each caller of a crowd sends. */
export interface CrowdRequest {
  /** Lines of the head, without those that frame the body. */
  readonly head: readonly string[];
  /** Size of the body that is sent, at most; it is a number of whole writes. */
  readonly bodyBytes: Bytes;
  /** Size of a chunk; the length is announced in the head if absent. */
  readonly chunkBytes?: Bytes;
  /** Length that the head announces. */
  readonly announcedBytes?: Bytes;
}

/** Many callers that send the same request and never end it. */
export class UncontrolledCallers {
  readonly #sockets: Socket[] = [];
  readonly #settled: Promise<void>[] = [];

  /** Connects to a port of this machine and begins to send. */
  constructor(
    input: {
      readonly port: number;
      readonly callers: number;
      readonly request: CrowdRequest;
    },
  ) {
    const { port, callers, request } = input;
    const head = formatHead(request);
    const { piece, pieces } = formatPieces(request);
    for (let caller = 0; caller < callers; caller++) {
      const socket = connect(port, "127.0.0.1");
      this.#sockets.push(socket);
      this.#settled.push(sendPieces(socket, { head, piece, pieces }));
    }
  }

  /** Number of connections that are open. */
  countOpen(): number {
    return this.#sockets.filter((socket) => !socket.destroyed).length;
  }

  /** Resolves when each caller has sent its part of a body or was cut off. */
  async waitSent(): Promise<void> {
    await Promise.all(this.#settled);
  }

  /** Closes all connections. */
  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
  }
}

function formatHead(request: CrowdRequest): string {
  const framing = request.announcedBytes === undefined
    ? "Transfer-Encoding: chunked"
    : `Content-Length: ${request.announcedBytes}`;
  return [...request.head, framing, "", ""].join("\r\n");
}

/** Returns bytes that are sent several times to form a body, and how often. */
function formatPieces(
  { bodyBytes, chunkBytes }: CrowdRequest,
): { readonly piece: Buffer; readonly pieces: number } {
  const size = chunkBytes ?? WRITE_BYTES;
  const chunk = chunkBytes === undefined
    ? "x".repeat(size)
    : `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
  const written = Math.max(1, Math.floor(WRITE_BYTES / chunk.length));
  const chunks = Math.min(written, Math.floor(bodyBytes / size));
  return {
    piece: Buffer.from(chunk.repeat(chunks)),
    pieces: Math.floor(bodyBytes / (size * chunks)),
  };
}

/** Sends a request; resolves when all is sent or the connection is closed. */
function sendPieces(
  socket: Socket,
  input: {
    readonly head: string;
    readonly piece: Buffer;
    readonly pieces: number;
  },
): Promise<void> {
  return new Promise((resolve) => {
    let left = input.pieces;
    const send = () => {
      if (left-- <= 0) return resolve();
      socket.write(input.piece, () => setImmediate(send));
    };
    socket.on("error", () => {});
    socket.on("close", () => resolve());
    socket.resume();
    socket.write(input.head, send);
  });
}
