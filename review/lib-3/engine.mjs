// An engine that can be ended and started again under its id and address, with
// another version of its software.
import { createServer } from "node:http";
import { sleep } from "./harness.mjs";

/** Time between two entries that a replica writes, as in the settings. */
export const HEARTBEAT_MILLIS = 1200;

export class Engine {
  constructor({ id, store, recorder, events = 60, pause = 50 }) {
    Object.assign(this, { id, store, recorder, events, pause });
    this.sockets = new Set();
    this.seq = 0;
    this.port = 0;
    /** Requests that it began to run. */
    this.runs = [];
  }

  /** Starts to serve; its first entry follows after `registerMillis`. */
  async start({ version, registerMillis = 0 }) {
    this.version = version;
    this.seq = 0;
    this.born = Date.now();
    this.server = createServer((incoming, outgoing) =>
      void this.serve(incoming, outgoing)
    );
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((done) => this.server.listen(this.port, "127.0.0.1", done));
    this.port = this.server.address().port;
    this.recorder.write(`${this.id} serves with version ${version}`);
    this.timer = setTimeout(() => this.beat(), registerMillis);
  }

  beat() {
    this.store.put("servers", this.id, {
      service: "llm",
      address: `127.0.0.1:${this.port}`,
      zone: "here-a",
      version: this.version,
      slots: 64,
      state: "ready",
      coldRemainingMs: 0,
      born: this.born,
      seq: ++this.seq,
    });
    if (this.seq === 1) this.recorder.write(`${this.id} registered version ${this.version}`);
    this.timer = setTimeout(() => this.beat(), HEARTBEAT_MILLIS);
  }

  /** Ends as a process that crashes: nothing is sent, connections are reset. */
  crash() {
    clearTimeout(this.timer);
    this.server?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.recorder.write(`${this.id} crashed`);
  }

  async serve(incoming, outgoing) {
    const { version } = this;
    for await (const _ of incoming);
    const { headers } = incoming;
    const id = headers["anvilrail-request-id"];
    const head = { "Anvilrail-Request-Id": id, "Anvilrail-Replica-Load": "1,0,64" };
    if (headers["anvilrail-expect-replica"] !== this.id) {
      outgoing.writeHead(421, head);
      return void outgoing.end();
    }
    const from = Number(headers["last-event-id"] ?? 0);
    this.runs.push({ id, version, from });
    this.recorder.write(`${this.id} ran ${id} with version ${version} after event ${from}`);
    outgoing.writeHead(200, {
      ...head,
      "Anvilrail-Replica-Seal": `${this.id}.${version}.${id}`,
      "content-type": "text/event-stream",
    });
    for (let event = from + 1; event <= this.events; event++) {
      if (outgoing.destroyed) return;
      outgoing.write(`id: ${event}\ndata: piece ${event} of ${version}\n\n`);
      await sleep(this.pause);
    }
    outgoing.end();
  }
}
