/**
 * Follows the answers of an HTTP server until they are completely sent, for a
 * planned stop. Node counts a connection as idle once its answer was handed over,
 * and destroys it together with what its socket has not taken yet.
 */
import type { Server, ServerResponse } from "node:http";
import { Server as SocketServer } from "node:net";
import { waitForPendingReads } from "./pending_reads.ts";

/** The answers of one server that have begun and are not completely sent. */
export class UnsentAnswers {
  readonly #server: Server;
  readonly #open = new Set<ServerResponse>();
  #isStopped = false;

  constructor(server: Server) {
    this.#server = server;
    server.on("request", (incoming, outgoing: ServerResponse) => {
      const { socket } = incoming;
      // An answer that waits for an earlier one has no connection of its own.
      const remove = () => {
        socket.removeListener("close", remove);
        this.#open.delete(outgoing);
        if (this.#isStopped) void this.#closeIdle();
      };
      this.#open.add(outgoing);
      socket.once("close", remove);
      outgoing.once("close", remove);
    });
  }

  /** Number of answers of which a part was not sent yet. */
  count(): number {
    let count = 0;
    for (const { headersSent } of this.#open) if (headersSent) count++;
    return count;
  }

  /** Stops accepting connections; idle ones close once all answers are sent. */
  stopListening(): void {
    this.#isStopped = true;
    // The method of an HTTP server would close idle connections as well.
    SocketServer.prototype.close.call(this.#server);
    void this.#closeIdle();
  }

  async #closeIdle(): Promise<void> {
    await waitForPendingReads();
    if (this.count() > 0) return;
    this.#server.close();
    this.#server.closeIdleConnections();
  }
}
