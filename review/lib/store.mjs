/**
 * Stand-in for the platform's store, with the calls that the gateways use: rows,
 * transactions and feeds, as PROTOCOL.md describes them.
 *
 * `copy` and `restore` play the drill of the users' fourth letter: the store is
 * away for a moment and comes back from a copy some seconds old.
 */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Tables that only the operator and the replicas write. */
const FOREIGN_TABLES = ["op", "servers"];

const MAX_PAGE = 500;

const formatId = ({ table, part = "", key }) => `${table}\n${part}\n${key}`;
const encode = (value) => Buffer.from(JSON.stringify(value)).toString("base64");

export class Store {
  #server;
  #rows = new Map();
  #history = [];
  #version = 0;
  /** Versions up to this one are not in the history any more. */
  #forgottenVersion = 0;
  #waiters = new Set();
  #era = 1;
  #copy;
  isAway = false;
  txMillis = 5;
  /** Called with each call of a feed: its table and the version it goes on from. */
  recordFeed = () => {};

  static async start() {
    const store = new Store();
    store.#server = createServer((request, response) =>
      store.#serve(request, response).catch(() => response.destroy())
    );
    store.#server.keepAliveTimeout = 60_000;
    await new Promise((done) => store.#server.listen(0, "127.0.0.1", done));
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  get version() {
    return this.#version;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or a replica does; undefined removes it. */
  put(table, key, value) {
    this.#apply([{
      table,
      part: "",
      key,
      value: value === undefined ? undefined : encode(value),
    }]);
    return this.#version;
  }

  /** Returns the decoded value of a row, or undefined. */
  read(table, part, key) {
    const value = this.#rows.get(formatId({ table, part, key }))?.value;
    return value === undefined
      ? undefined
      : JSON.parse(Buffer.from(value, "base64").toString());
  }

  /** Copies all rows; a later `restore` comes back from this copy. */
  copy() {
    this.#copy = {
      rows: new Map(this.#rows),
      history: [...this.#history],
      version: this.#version,
    };
    return this.#version;
  }

  /** Goes away: closes all connections and answers nothing until it is back. */
  goAway() {
    this.isAway = true;
    this.#server.closeAllConnections();
    for (const wake of this.#waiters) wake();
  }

  /**
   * Comes back from the copy. What the operator and the replicas wrote since is
   * written again, each row once, with its newest value.
   */
  restore() {
    const foreign = [...this.#rows.values()].filter((row) =>
      FOREIGN_TABLES.includes(row.table)
    );
    const { rows, history, version } = this.#copy;
    const lostVersion = this.#version;
    this.#rows = new Map(rows);
    this.#history = [...history];
    this.#version = version;
    this.#era++;
    this.isAway = false;
    for (const row of foreign) {
      const known = rows.get(formatId(row));
      if (known?.value === row.value) continue;
      this.#apply([{ ...row }]);
    }
    return { copiedVersion: version, lostVersion, version: this.#version };
  }

  async #serve(request, response) {
    if (this.isAway) return void request.socket.destroy();
    const era = this.#era;
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      if (this.isAway || era !== this.#era) return void request.socket.destroy();
      response.writeHead(status, {
        "content-type": "application/json",
        "store-era": String(this.#era),
      });
      response.end(JSON.stringify({
        ...body,
        nowMs: Math.round(performance.timeOrigin + performance.now()),
      }));
    };
    switch (`${request.method} ${url.pathname}`) {
      case "GET /-/rows-get":
        await sleep(1);
        return this.#get(url, send);
      case "GET /-/rows-feed":
        return await this.#feed(url, send, () => era === this.#era);
      case "POST /-/rows-tx":
        await sleep(this.txMillis);
        if (this.isAway || era !== this.#era) {
          return void request.socket.destroy();
        }
        return this.#transact(JSON.parse(Buffer.concat(chunks)), send);
      default:
        return send(404, {});
    }
  }

  #get(url, send) {
    const query = url.searchParams;
    const [from, to] = [query.get("from"), query.get("to")];
    const limit = Math.min(MAX_PAGE, Number(query.get("limit") ?? MAX_PAGE));
    const rows = [...this.#rows.values()]
      .filter((row) => row.value !== undefined)
      .filter((row) => row.table === query.get("table"))
      .filter((row) => row.part === (query.get("part") ?? ""))
      .filter((row) => from === null || row.key >= from)
      .filter((row) => to === null || row.key < to)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    send(200, {
      rows: rows.slice(0, limit),
      hasMore: rows.length > limit,
      rowVersion: this.#version,
    });
  }

  async #feed(url, send, isSameEra) {
    const query = url.searchParams;
    const [table, after] = [query.get("table"), Number(query.get("after"))];
    const end = performance.now() + Math.min(30_000, query.get("waitMs"));
    this.recordFeed(table, after);
    for (;;) {
      if (this.isAway || !isSameEra()) return send(503, {});
      if (after < this.#forgottenVersion || after > this.#version) {
        return send(410, { rowVersion: this.#version });
      }
      const rows = this.#history
        .filter((row) => row.table === table && row.rowVersion > after)
        .map(({ value, ...row }) =>
          value === undefined ? { ...row, removed: true } : { ...row, value }
        );
      const left = end - performance.now();
      if (rows.length > 0 || left <= 0) {
        return send(200, { rows, rowVersion: this.#version });
      }
      await this.#waitChange(left);
    }
  }

  #waitChange(millis) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, millis);
      this.#waiters.add(wake);
    });
  }

  #transact(body, send) {
    const { expectRev = [], writes = [], remove = [] } = body;
    const changed = [...writes, ...remove];
    if (changed.some((row) => FOREIGN_TABLES.includes(row.table))) {
      return send(403, {});
    }
    const parts = new Set([...expectRev, ...changed].map((row) => row.part));
    if (parts.size > 1) return send(400, {});
    const isExpected = expectRev.every((row) => {
      const known = this.#rows.get(formatId(row));
      const version = known?.value === undefined ? 0 : known.rowVersion;
      return version === row.rowVersion;
    });
    if (!isExpected) {
      const rows = expectRev.map((row) => this.#rows.get(formatId(row)))
        .filter((row) => row?.value !== undefined);
      return send(412, { rows, rowVersion: this.#version });
    }
    this.#apply([
      ...writes,
      ...remove.map((row) => ({ ...row, value: undefined })),
    ]);
    send(200, { rowVersion: this.#version });
  }

  #apply(rows) {
    const rowVersion = ++this.#version;
    for (const { table, part = "", key, value } of rows) {
      const row = { table, part, key, value, rowVersion };
      this.#rows.set(formatId(row), row);
      this.#history.push(row);
    }
    // Twenty seconds of history, at far fewer versions than this.
    if (this.#history.length > 40_000) {
      const dropped = this.#history.splice(0, 20_000);
      this.#forgottenVersion = dropped.at(-1).rowVersion;
    }
    for (const wake of [...this.#waiters]) wake();
  }
}
