/**
 * Stand-in for a replica: a plain service, or an engine that streams events. It
 * registers in the store, renews its entry, and records what it ran.
 */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MILLIS = 1_200;

/** Tokens in one event of a stream, as the manifest says. */
export const EVENT_TOKENS = 5;

export class Replica {
  /** Called with each request before it runs; true if it has dealt with it. */
  intercept = () => false;
  /** Requests that it began to run: id, tenant, path, at. */
  runs = [];
  state = "ready";
  /** Whether it has removed its entry, and writes no more heartbeats. */
  hasLeft = false;
  hasExited = false;
  /** Time to run a request of a plain service, or until the first event. */
  workMillis = 20;
  /** Time between two events of a stream. */
  eventMillis = 5;
  #server;
  #seq = 0;
  #born = Date.now();

  static async start({ id, service, store, zone = "here-a" }) {
    const replica = new Replica();
    Object.assign(replica, { id, service, store, zone });
    replica.#server = createServer((request, response) =>
      void replica.#serve(request, response)
    );
    replica.#server.keepAliveTimeout = 30_000;
    await new Promise((done) => replica.#server.listen(0, "127.0.0.1", done));
    replica.register();
    replica.timer = setInterval(() => replica.register(), HEARTBEAT_MILLIS);
    return replica;
  }

  register() {
    if (this.store.isAway || this.hasLeft) return;
    this.store.put("servers", this.id, this.createEntry());
  }

  /** Returns the entry of the next heartbeat. */
  createEntry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.#server.address().port}`,
      zone: this.zone,
      version: "v1",
      slots: 32,
      state: this.state,
      coldRemainingMs: 0,
      seq: ++this.#seq,
      born: this.#born,
    };
  }

  /**
   * Leaves without a report: removes its entry and serves on. Returns the
   * version of the removal.
   */
  leave() {
    this.hasLeft = true;
    clearInterval(this.timer);
    return this.store.put("servers", this.id, undefined);
  }

  /** Ends like a process that exits: whatever is in progress is cut off. */
  exit() {
    this.hasExited = true;
    this.#server.closeAllConnections();
    this.#server.close();
  }

  stop() {
    clearInterval(this.timer);
    if (this.hasExited) return;
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request, response) {
    const { headers } = request;
    request.on("error", () => {});
    response.on("error", () => {});
    try {
      for await (const _ of request);
    } catch {
      return;
    }
    const id = headers["anvilrail-request-id"];
    if (headers["anvilrail-expect-replica"] !== this.id) {
      response.writeHead(421, {
        "anvilrail-not-executed": "1",
        ...(id === undefined ? {} : { "anvilrail-request-id": id }),
      });
      return void response.end();
    }
    if (request.url.startsWith("/health")) {
      response.writeHead(200, { "anvilrail-replica-id": this.id });
      return void response.end();
    }
    const run = {
      id,
      replica: this.id,
      tenant: headers["anvilrail-tenant"],
      path: request.url,
      at: Date.now(),
    };
    if (this.intercept(request, response)) return;
    this.runs.push(run);
    const head = {
      "anvilrail-request-id": id,
      "anvilrail-replica-seal": `${this.id}.${id}`,
    };
    await sleep(this.workMillis);
    if (response.destroyed) return;
    const usage = headers["anvilrail-token-usage"];
    if (usage === undefined) {
      response.writeHead(200, head);
      return void response.end(`done ${id}`);
    }
    const outputTokens = Number(usage.split(",")[1]);
    response.writeHead(200, { ...head, "content-type": "text/event-stream" });
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= outputTokens / EVENT_TOKENS; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await sleep(this.eventMillis);
    }
    response.end();
  }
}
