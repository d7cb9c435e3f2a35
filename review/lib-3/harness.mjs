// Starts gateways as separate processes, with the command of the deploy file, on
// loopback addresses. The store and the targets are the project's own stand-ins,
// which run in the process of the case.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import { get } from "node:http";

/** Time after which a case that has not ended counts as one that can't run. */
const MAX_RUN_MILLIS = 115_000;

/** The processes that were started and have not ended. */
const running = new Set();

function stopUnfinished(reason) {
  console.error(reason);
  process.exit(2);
}

process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
process.on("uncaughtException", (error) => stopUnfinished(error.stack));
for (const name of ["SIGTERM", "SIGINT", "SIGHUP"]) {
  process.on(name, () => stopUnfinished(`ended by ${name}`));
}
setTimeout(() => stopUnfinished("not ended in time"), MAX_RUN_MILLIS).unref();

const ROOT = resolve(import.meta.dirname, "../..");
const standIns = await import(
  join(ROOT, "dist/platform/stand_ins/mod.js")
);
export const { StoreServer, TargetServer, RawTarget } = standIns;

/** Arguments of the deploy file's command, without the settings file. */
const GATEWAY = [
  "--max-old-space-size=200",
  "--max-semi-space-size=8",
  "target/gateway.cjs",
  "gateway",
  "--settings",
];

export const KEY = "key-of-tours";
export const HOST = "calls.example";

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export const sleep = (millis) =>
  new Promise((done) => setTimeout(done, millis));

/** Resolves to whether a condition held before the time was up. */
export async function waitFor(condition, millis) {
  const until = performance.now() + millis;
  for (;;) {
    if (await condition()) return true;
    if (performance.now() > until) return false;
    await sleep(20);
  }
}

/** Writes lines to the record of a case. */
export class Recorder {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    writeFileSync(path, "");
  }

  write(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.path, `${seconds} ${text}\n`);
  }
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Returns ports that are free now. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!ports.includes(port) && await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** The configuration of a small deployment: one plain service, one of engines. */
export function createConfiguration(version, extra = {}) {
  const route = {
    host: HOST,
    timeoutMs: 3000,
    targetLatencyMs: 300,
    priority: 1,
    anonymous: false,
    sticky: false,
    canResume: false,
  };
  return {
    version,
    routes: [
      { ...route, name: "book", pathPrefix: "/book/", kind: "non_idempotent", service: "app", maxAttempts: 1 },
      { ...route, name: "look", pathPrefix: "/look/", kind: "safe", service: "app", maxAttempts: 2 },
      {
        ...route,
        name: "chat",
        pathPrefix: "/chat/",
        kind: "streaming",
        service: "llm",
        timeoutMs: 15000,
        maxAttempts: 2,
        canResume: true,
        sticky: true,
        gapAimMs: 600,
      },
      {
        ...route,
        name: "brief",
        pathPrefix: "/brief/",
        kind: "streaming",
        service: "llm",
        timeoutMs: 15000,
        maxAttempts: 1,
        sticky: true,
        gapAimMs: 600,
      },
    ],
    services: [
      { name: "app", healthPath: "/health", maxConnections: 96, protocol: "h1", tls: false },
      {
        name: "llm",
        healthPath: "/health",
        maxConnections: 360,
        protocol: "h1",
        tls: false,
        engine: { slots: 64, kvCapacityTokens: 500000, stride: 5 },
      },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: "tours", apiKeys: [KEY], priority: 1, prepaid: 5000000 }],
    ...extra,
  };
}

/** One gateway process. */
export class GatewayProcess {
  constructor({ vm, directory, storeAddress, settings = {}, recorder }) {
    Object.assign(this, { vm, directory, storeAddress, extra: settings, recorder });
    this.exits = [];
    this.starts = 0;
    this.output = "";
  }

  async prepare() {
    const [callers, readiness, operators, peers] = await findPorts(4);
    this.ports = { callers, readiness, operators, peers };
    this.path = join(this.directory, `${this.vm}.json`);
    writeFileSync(this.path, JSON.stringify({
      vm: this.vm,
      dataCentre: "here-a",
      regions: { "here-a": "here" },
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      operators: `127.0.0.1:${operators}`,
      peers: `127.0.0.1:${peers}`,
      store: { address: this.storeAddress, writesPerSecond: 600 },
      retries: { ratio: 0.2, slack: 52 },
      configurationMillis: 3000,
      machine: { memoryMegabytes: 350, fileDescriptors: 4200 },
      stopMillis: 8000,
      ...this.extra,
    }));
  }

  /** Starts the process; an end that nobody asked for is recorded. */
  start() {
    this.starts++;
    const child = spawn(process.execPath, [...GATEWAY, this.path], {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    running.add(child);
    this.isKilled = false;
    const keep = (bytes) => {
      this.output = (this.output + bytes).slice(-this.maxOutput);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      running.delete(child);
      child.hasEnded = true;
      this.recorder.write(`${this.vm} ended code=${code} signal=${signal}`);
      if (!this.isKilled) this.exits.push({ code, signal });
    });
    this.recorder.write(`${this.vm} started pid=${child.pid}`);
  }

  maxOutput = 20_000_000;

  signal(name) {
    if (name === "SIGKILL" || name === "SIGTERM") this.isKilled = true;
    if (!this.child.hasEnded) this.child.kill(name);
    this.recorder.write(`${this.vm} got ${name}`);
  }

  waitEnd(millis) {
    return waitFor(() => this.child.hasEnded, millis);
  }

  isReady() {
    return new Promise((resolve) => {
      const outgoing = get({ host: "127.0.0.1", port: this.ports.readiness, path: "/-/ready", timeout: 1000, agent: false }, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      });
      outgoing.on("timeout", () => outgoing.destroy());
      outgoing.on("error", () => resolve(false));
    });
  }

  waitReady(millis = 15_000) {
    return waitFor(() => this.isReady(), millis);
  }
}

/** A small deployment: a store, targets and gateways. */
export class System {
  static async start({ directory, recorder }) {
    const system = new System();
    system.recorder = recorder;
    system.directory = mkdtempSync(join(tmpdir(), "review-"));
    system.store = await StoreServer.start();
    system.store.era = undefined;
    system.gateways = [];
    system.targets = [];
    return system;
  }

  async addTarget(id, service, release = "v1", entry = {}) {
    const target = await TargetServer.start(id, release);
    this.targets.push(target);
    this.store.put("servers", id, { ...target.createEntry(service), ...entry });
    return target;
  }

  async addGateway(vm, settings = {}) {
    const gateway = new GatewayProcess({
      vm,
      directory: this.directory,
      storeAddress: this.store.address,
      settings,
      recorder: this.recorder,
    });
    await gateway.prepare();
    gateway.start();
    this.gateways.push(gateway);
    return gateway;
  }

  async stop() {
    for (const gateway of this.gateways) {
      if (!gateway.child.hasEnded) {
        gateway.isKilled = true;
        gateway.child.kill("SIGCONT");
        gateway.child.kill("SIGKILL");
      }
    }
    for (const target of this.targets) target.stop();
    this.store.stop();
    await sleep(100);
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/**
 * Sends raw bytes on a new connection and collects what comes back until it
 * closes, a condition holds or the time is up.
 */
export function exchangeRaw({ port, bytes, millis = 5000, isDone = () => false }) {
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    let text = "";
    let end = "timeout";
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ text, end });
    };
    const timer = setTimeout(finish, millis);
    socket.on("connect", () => socket.write(bytes));
    socket.on("data", (part) => {
      text += part.toString("latin1");
      if (isDone(text)) {
        end = "done";
        finish();
      }
    });
    socket.on("end", () => (end = "end"));
    socket.on("error", (error) => (end = error.code));
    socket.on("close", finish);
  });
}

/** Formats the head of a caller's request. */
export function formatHead({ method = "GET", path, id, deadline = 3000, headers = {} }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Anvilrail-Request-Id: ${id}`,
    `Anvilrail-Deadline-Ms: ${deadline}`,
    `Authorization: Bearer ${KEY}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  return `${lines.join("\r\n")}\r\n\r\n`;
}
