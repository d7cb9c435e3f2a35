/**
 * An address whose machine has no power: nothing accepts or refuses connections
 * there, so that attempts to connect hang. A thread listens with a short queue
 * and then stands still, and the queue is filled.
 */
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";

/** Listens, tells the port, and waits for what never happens. */
const LISTENER = `
const { createServer } = require("node:net");
const { parentPort } = require("node:worker_threads");
const server = createServer();
server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
  parentPort.postMessage(server.address().port);
  const never = new Int32Array(new SharedArrayBuffer(4));
  setImmediate(() => Atomics.wait(never, 0, 0));
});
`;

/** Connections by which the kernel's queue of a short listener is filled. */
const MAX_FILLERS = 16;

/** Time after which a connection counts as hanging, in milliseconds. */
const HANGING_MILLIS = 200;

/** An address that is silent until it is closed. */
export class DarkAddress {
  /** `host:port`. */
  readonly address: string;
  readonly #worker: Worker;
  readonly #fillers: Socket[] = [];

  private constructor(worker: Worker, port: number) {
    this.#worker = worker;
    this.address = `127.0.0.1:${port}`;
  }

  /** Resolves once attempts to connect hang. */
  static async start(): Promise<DarkAddress> {
    const worker = new Worker(LISTENER, { eval: true });
    const port = await new Promise<number>((resolve, reject) => {
      worker.once("message", resolve);
      worker.once("error", reject);
    });
    const dark = new DarkAddress(worker, port);
    await dark.#fill(port);
    return dark;
  }

  /** Ends the thread and closes the connections in its queue. */
  async close(): Promise<void> {
    for (const socket of this.#fillers) socket.destroy();
    await this.#worker.terminate();
  }

  async #fill(port: number): Promise<void> {
    for (let count = 0; count < MAX_FILLERS; count++) {
      const socket = connect({ host: "127.0.0.1", port });
      socket.on("error", () => {});
      this.#fillers.push(socket);
      const isConnected = await Promise.race([
        new Promise<boolean>((done) =>
          socket.once("connect", () => done(true))
        ),
        sleep(HANGING_MILLIS, false),
      ]);
      if (!isConnected) return;
    }
    throw new Error("the queue of the dark address did not fill");
  }
}
