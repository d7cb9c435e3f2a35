/**
 * A small deployment for review scripts: the platform's store (the project's own
 * stand-in), replicas, and the project's gateways as processes of their own,
 * started with the command and the settings template of the deploy file.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const HERE = dirname(fileURLToPath(import.meta.url));
export const ROOT = join(HERE, "..", "..");
/** Exit code of a case that could not run. */
const NOT_RUN = 2;
/** Time after which a run is given up, below the 120 seconds that it may take. */
const MAX_RUN_MS = 115_000;

export const { StoreServer } = await import(
  join(ROOT, "dist/platform/stand_ins/mod.js")
).catch((error) => {
  console.error(`review/build-2.sh has to run first: ${error.message}`);
  process.exit(NOT_RUN);
});
export { sleep };

/** Writes lines with the time since the start to a file and to the output. */
export class Recorder {
  #lines = [];
  #startedAt = performance.now();
  #file;
  constructor(file) {
    this.#file = file;
  }
  add(text) {
    const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    this.#lines.push(`${at.padStart(8)} ${text}`);
  }
  close() {
    writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

/** Ports below those that the kernel gives to outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
const GIVEN_PORTS = new Set();

/** Returns a free port that no other call has returned. */
export async function findPort() {
  for (;;) {
    const port = FIRST_PORT +
      Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (GIVEN_PORTS.has(port)) continue;
    GIVEN_PORTS.add(port);
    const server = createTcpServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((done) => server.close(done));
    return port;
  }
}

/** Resolves when a condition holds; throws after a time. */
export async function waitFor(condition, millis, what) {
  const until = performance.now() + millis;
  while (!await condition()) {
    if (performance.now() > until) throw new Error(`timed out: ${what}`);
    await sleep(25);
  }
}

/** Fills in the settings template as the pages describe it. */
function renderTemplate(text, fields) {
  const read = (path, scope) => {
    if (path === ".") return scope.at(-1);
    for (const each of [...scope].reverse()) {
      let value = each;
      for (const part of path.split(".")) value = value?.[part];
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const render = (part, scope) =>
    part
      .replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (_, path, inner) => {
          const value = read(path, scope);
          if (value === undefined || value === null || value === false) {
            return "";
          }
          return render(inner, [...scope, value]);
        },
      )
      .replace(
        /\{\{([\w.]+)\|json\}\}/g,
        (_, path) => JSON.stringify(read(path, scope)),
      )
      .replace(
        /\{\{([\w.]+)\}\}/g,
        (_, path) => String(read(path, scope) ?? ""),
      );
  return render(text, [fields]);
}

/** Everything that a script starts; `stop` ends it. */
export class Deployment {
  vms = new Map();
  #stops = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  constructor(recorder) {
    this.recorder = recorder;
  }

  static async start(recorder) {
    const deployment = new Deployment(recorder);
    deployment.store = await StoreServer.start();
    deployment.onStop(() => deployment.store.stop());
    return deployment;
  }

  onStop(stop) {
    this.#stops.push(stop);
  }

  /** Starts a gateway's process; its ports stay the same over restarts. */
  async startVm(name, options = {}) {
    const { zone = "zone-a", zones = { "zone-a": "region-a" } } = options;
    const known = this.vms.get(name);
    const ports = known?.ports ?? {
      front: await findPort(),
      ready: await findPort(),
      operators: await findPort(),
      peers: await findPort(),
    };
    const template = readFileSync(
      join(ROOT, "deploy/gateway_settings.jsonc"),
      "utf8",
    );
    const store = options.storeAddress ?? known?.options.storeAddress ??
      this.store.address;
    const settings = renderTemplate(template, {
      node: name,
      zone,
      zones,
      ip: "127.0.0.1",
      listen: {
        front: `127.0.0.1:${ports.front}`,
        ready: `127.0.0.1:${ports.ready}`,
      },
      portRange: [ports.peers, ports.peers + 1],
      platform: { address: store, writesPerS: 600 },
      limits: { memoryMb: 350, maxFds: 4200 },
      bounds: {
        budgetRatio: 0.2,
        budgetSlack: 52,
        configDeadlineMs: 3000,
        graceS: 8,
      },
    }).replace(
      // Scripts on one address need a port of their own for this.
      "127.0.0.1:9464",
      `127.0.0.1:${ports.operators}`,
    );
    const file = join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, settings);

    const child = spawn(
      process.execPath,
      [
        "--max-old-space-size=200",
        "--max-semi-space-size=8",
        "target/gateway.cjs",
        "gateway",
        "--settings",
        file,
      ],
      { cwd: ROOT, stdio: ["ignore", "pipe", "pipe"] },
    );
    const vm = {
      name,
      ports,
      child,
      options: { ...options, storeAddress: store },
      log: known?.log ?? [],
      exit: undefined,
      address: `127.0.0.1:${ports.front}`,
    };
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (text) => vm.log.push(String(text)));
    }
    child.on("exit", (code, signal) => {
      vm.exit = { code, signal };
      this.recorder.add(`vm ${name} ended: code ${code} signal ${signal}`);
    });

    this.vms.set(name, vm);
    this.recorder.add(`vm ${name} started, pid ${child.pid}`);
    return vm;
  }

  async waitReady(names, millis = 20_000) {
    for (const name of names) {
      const vm = this.vms.get(name);
      await waitFor(
        () => {
          if (vm.exit === undefined) return isReady(vm.ports.ready);
          throw new Error(`${name} ended: ${vm.log.join("").slice(-500)}`);
        },
        millis,
        `${name} ready`,
      );
    }
  }

  /** Sends a signal to a VM's process and waits for its end if it is a kill. */
  async signal(name, signal) {
    const vm = this.vms.get(name);
    this.recorder.add(`signal ${signal} to ${name}`);
    vm.child.kill(signal);
    if (signal !== "SIGKILL") return;
    await waitFor(() => vm.exit !== undefined, 5_000, `${name} ended`);
  }

  async stop() {
    for (const { child, exit } of this.vms.values()) {
      if (exit === undefined) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    for (const stop of this.#stops.reverse()) await stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

function isReady(port) {
  return new Promise((resolve) => {
    const outgoing = request(
      { host: "127.0.0.1", port, path: "/-/ready", agent: false },
      (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      },
    );
    outgoing.on("error", () => resolve(false));
    outgoing.end();
  });
}

/**
 * A replica. `serve` gets each request that it runs, with its whole body, and
 * the answer, whose head has the id and the receipt of the pages.
 */
export class Replica {
  runs = [];
  constructor(id, service, options = {}) {
    this.id = id;
    this.service = service;
    this.options = options;
  }

  static async start(id, service, options = {}) {
    const replica = new Replica(id, service, options);
    replica.server = createServer((incoming, outgoing) =>
      void replica.#serve(incoming, outgoing)
    );
    replica.server.keepAliveTimeout = 15_000;
    await new Promise((done) =>
      replica.server.listen(options.port ?? 0, "127.0.0.1", done)
    );
    replica.port = replica.server.address().port;
    return replica;
  }

  createEntry(state = "ready") {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.options.zone ?? "zone-a",
      version: this.options.version ?? "v1",
      slots: this.options.slots ?? 64,
      state,
      coldRemainingMs: 0,
      seq: this.options.seq ?? 1,
      born: this.options.born ?? 1_700_000_000_000,
    };
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async #serve(incoming, outgoing) {
    const parts = [];
    incoming.on("error", () => {});
    outgoing.on("error", () => {});
    try {
      for await (const part of incoming) parts.push(part);
    } catch {
      return;
    }
    const { headers } = incoming;
    const id = String(headers["anvilrail-request-id"]);
    if (headers["anvilrail-expect-replica"] !== this.id) {
      outgoing.writeHead(421, { "Anvilrail-Replica-Id": this.id });
      return void outgoing.end();
    }
    const run = {
      id,
      at: performance.now(),
      headers,
      method: incoming.method,
      path: incoming.url,
      body: Buffer.concat(parts),
    };
    this.runs.push(run);
    this.onRun?.(run);
    const head = {
      "Anvilrail-Request-Id": id,
      "Anvilrail-Replica-Seal": `${this.id}.${id}`,
      "Anvilrail-Replica-Load": "1,0,64",
    };
    if (this.serve !== undefined) {
      return void await this.serve({ incoming, outgoing, run, head });
    }
    if (headers["anvilrail-token-usage"] !== undefined) {
      return void await sendEvents(outgoing, { head, run, ...this.options });
    }
    outgoing.writeHead(200, head);
    outgoing.end(`done ${id}`);
  }
}

/** Streams events, from the one after `Last-Event-Id` on. */
export async function sendEvents(outgoing, input) {
  const { head, run, events = 15, pause = 200 } = input;
  const from = Number(run.headers["last-event-id"] ?? 0);
  outgoing.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
  for (let number = from + 1; number <= events; number++) {
    if (outgoing.destroyed) return;
    outgoing.write(`id: ${number}\ndata: piece ${number}\n\n`);
    await sleep(pause);
  }
  outgoing.end();
}

/** Sends one request on a new connection; resolves when it has ended. */
export function call(vm, input) {
  const { path, method = "POST", headers = {}, body = "prompt" } = input;
  const { giveUpMs, onData, agent = false } = input;
  return new Promise((resolve) => {
    const sentAt = performance.now();
    let text = "";
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ body: text, ms: performance.now() - sentAt, ...result });
    };
    const outgoing = request({
      host: "127.0.0.1",
      port: vm.ports.front,
      path,
      method,
      headers: { "Content-Length": Buffer.byteLength(body), ...headers },
      agent,
    }, (incoming) => {
      const { statusCode: status, headers: got } = incoming;
      incoming.on("data", (part) => {
        text += part;
        onData?.(text, outgoing);
      });
      incoming.on("error", () => {});
      incoming.on(
        "close",
        () => finish({ status, headers: got, isComplete: incoming.complete }),
      );
    });
    const timer = giveUpMs === undefined ? undefined : setTimeout(() => {
      finish({ status: 0, isComplete: false, gaveUp: true });
      outgoing.destroy();
    }, giveUpMs);
    outgoing.on(
      "error",
      (error) => finish({ status: 0, isComplete: false, error: error.code }),
    );
    outgoing.end(body);
  });
}

/** Number of the last complete event of a stream's body. */
export function readLastEvent(body) {
  const ids = [...body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)];
  return ids.length === 0 ? 0 : Number(ids.at(-1)[1]);
}

/**
 * Takes the place of a machine without power at an address: connections to it
 * are neither accepted nor refused. It is a process that listens and is stopped,
 * with a full queue.
 */
export async function startDarkAddress(deployment, port) {
  const child = spawn(process.execPath, [
    "-e",
    `require("node:net").createServer().listen({host:"127.0.0.1",port:${port},backlog:1},()=>console.log("up"))`,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  await new Promise((done) => child.stdout.once("data", done));
  child.kill("SIGSTOP");
  const fillers = [];
  deployment.onStop(() => {
    for (const socket of fillers) socket.destroy();
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  });
  for (let count = 0; count < 16; count++) {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    fillers.push(socket);
    const isConnected = await Promise.race([
      new Promise((done) => socket.once("connect", () => done(true))),
      sleep(300, false),
    ]);
    if (!isConnected) return;
  }
  throw new Error("the queue of the dark address did not fill");
}

/** A manifest with the routes of a small deployment. */
export function createManifest(version, overrides = {}) {
  const route = (name, extra) => ({
    name,
    host: "calls.example",
    pathPrefix: `/${name}/`,
    kind: "safe",
    timeoutMs: 4_000,
    targetLatencyMs: 300,
    priority: 1,
    service: "app",
    maxAttempts: 2,
    anonymous: false,
    sticky: false,
    canResume: false,
    ...extra,
  });
  const stream = {
    kind: "streaming",
    service: "llm",
    gapAimMs: 600,
    sticky: true,
  };
  return {
    version,
    routes: [
      route("read", {}),
      route("book", { kind: "non_idempotent", maxAttempts: 1 }),
      route("chat", { ...stream, canResume: true }),
      route("brief", { ...stream, maxAttempts: 1 }),
    ],
    services: [
      {
        name: "app",
        healthPath: "/health",
        maxConnections: 96,
        protocol: "h1",
        tls: false,
      },
      {
        name: "llm",
        healthPath: "/health",
        maxConnections: 360,
        protocol: "h1",
        tls: false,
        engine: { slots: 64, kvCapacityTokens: 500_000, stride: 5 },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{
      name: "tours",
      apiKeys: ["key-of-tours"],
      priority: 1,
      prepaid: 2_000_000,
    }],
    ...overrides,
  };
}

export const STREAM_HEADERS = {
  "Anvilrail-Model": "m",
  "Anvilrail-Token-Usage": "100,200",
  "Anvilrail-Prompt-Prefix": "a1:60,b2:40",
};

export function createHeaders(id, deadlineMs, extra = {}) {
  return {
    Host: "calls.example",
    "Anvilrail-Request-Id": id,
    "Anvilrail-Deadline-Ms": String(Math.round(deadlineMs)),
    Authorization: "Bearer key-of-tours",
    ...extra,
  };
}

/** Runs a script's main function with a deployment; exits as the rules say. */
export async function runCase(folder, main) {
  const recorder = new Recorder(join(folder, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  recorder.add(`TROUBLE=${hasTrouble ? process.env.TROUBLE ?? "1" : "0"}`);
  let deployment;
  let code = NOT_RUN;
  const giveUp = async (reason) => {
    console.error(reason);
    recorder.add(`could not run: ${reason}`);
    await deployment?.stop();
    recorder.close();
    process.exit(NOT_RUN);
  };
  process.on("uncaughtException", (error) => void giveUp(error.stack));
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => void giveUp(`ended by ${signal}`));
  }
  setTimeout(() => void giveUp("it took too long"), MAX_RUN_MS).unref();
  try {
    deployment = await Deployment.start(recorder);
    const broken = await main({ deployment, recorder, hasTrouble });
    recorder.add(broken ? "the rule was broken" : "the rule held");
    console.log(broken ? "the rule was broken" : "the rule held");
    code = broken ? 1 : 0;
  } catch (error) {
    recorder.add(`could not run: ${error.stack}`);
    console.error(error);
  }
  await deployment?.stop();
  recorder.close();
  process.exit(code);
}
