/**
 * Connections are closed only after what has arrived on them was read. In a turn
 * of the event loop timers run before sockets are read, so that a process which
 * stood still would close connections with requests that arrived in time.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Turns of the event loop until what has arrived is read: the current one and a
 * whole one.
 */
const TURNS_TO_READ = 2;

/** Resolves once the event loop has read what has arrived on connections. */
export async function waitForPendingReads(): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_READ; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Closes a server's connections at the end of their idle time, unless a request
 * has arrived that was not read. It takes the place of Node's own close.
 */
export function registerIdleClose(server: Server): void {
  server.on("timeout", (socket: Socket) => void closeIfIdle(socket));
}

async function closeIfIdle(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await waitForPendingReads();
  if (socket.bytesRead === bytesRead) socket.destroy();
}
