/**
 * A small deployment on loopback: a store, replicas, gateways as processes of
 * their own, and clients; with the record of what was sent, answered and run.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { GatewayProcess } from "./gateway.mjs";
import { EVENT_TOKENS, Replica } from "./replica.mjs";
import { Store } from "./store.mjs";

export { EVENT_TOKENS, sleep };

/** Whether the disruption is played; without it the same run must pass. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export const HOST = "calls.example";

/** How long a case may run before it counts as one that couldn't run. */
const MAX_RUN_MILLIS = 115_000;

const READY_MILLIS = 15_000;

export function createRoute(name, extra = {}) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind: "safe",
    timeoutMs: 4_000,
    targetLatencyMs: 343,
    priority: 1,
    service: "ledger-app",
    maxAttempts: 2,
    anonymous: false,
    sticky: false,
    canResume: false,
    ...extra,
  };
}

/** A manifest like that of depo-log: plain routes and streams, with tenants. */
export function createManifest({ version, tenants, routes }) {
  return {
    version,
    routes: routes ?? [
      createRoute("lookup"),
      createRoute("entry", { kind: "non_idempotent", maxAttempts: 1 }),
      createRoute("flag", {
        kind: "streaming",
        service: "model-pool",
        gapAimMs: 800,
        maxAttempts: 1,
        sticky: true,
      }),
    ],
    services: [
      { name: "ledger-app", healthPath: "/health", maxConnections: 110 },
      { name: "spare-app", healthPath: "/health", maxConnections: 110 },
      {
        name: "model-pool",
        healthPath: "/health",
        maxConnections: 370,
        engine: {
          slots: 32,
          kvCapacityTokens: 473_969,
          stride: EVENT_TOKENS,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants,
  };
}

export class System {
  replicas = [];
  gateways = [];
  /** All calls: what was sent and what came of it. */
  calls = [];
  #record = [];
  #startedAt = Date.now();
  #sequence = 0;

  /** Starts all parts; the gateways' processes are to be ended also if it fails. */
  async start(
    { manifest, vms = 3, apps = 2, engines = 3, spares = 0, bounds },
  ) {
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.store = await Store.start();
    this.note(`store at ${this.store.address}`);
    const services = [
      ...Array(apps).fill("ledger-app"),
      ...Array(spares).fill("spare-app"),
      ...Array(engines).fill("model-pool"),
    ];
    for (const [index, service] of services.entries()) {
      this.replicas.push(
        await Replica.start({
          id: `i-${service}-${index}`,
          service,
          store: this.store,
        }),
      );
    }
    this.store.put("op", "config", manifest);
    for (let index = 1; index <= vms; index++) {
      const gateway = await GatewayProcess.create({
        name: `front-${index}`,
        folder: this.folder,
        store: this.store,
        ...(bounds === undefined ? {} : { bounds }),
      });
      this.gateways.push(gateway);
      gateway.start();
    }
    await this.waitReady();
  }

  async waitReady() {
    const end = Date.now() + READY_MILLIS;
    for (const gateway of this.gateways) {
      while (!await gateway.isReady()) {
        if (Date.now() > end) throw new Error(`${gateway.name} isn't ready`);
        await sleep(50);
      }
    }
    this.note("all gateways are ready");
  }

  /** Milliseconds since the start of the run. */
  now() {
    return Date.now() - this.#startedAt;
  }

  note(text) {
    this.#record.push(`${String(this.now()).padStart(6)} ms  ${text}`);
  }

  /**
   * Sends one request and resolves to what came of it. It waits for `patience`
   * at most, then closes the channel.
   */
  call(gateway, input) {
    const { route, key, prompt, output = 40, timeout = 4_000 } = input;
    const id = input.id ?? `r${++this.#sequence}`;
    const call = {
      id,
      vm: gateway.name,
      route,
      key,
      prompt: prompt ?? 0,
      sentAt: this.now(),
      status: 0,
      sealed: false,
      complete: false,
      events: 0,
    };
    this.calls.push(call);
    const isPrompt = prompt !== undefined;
    return new Promise((resolve) => {
      const outgoing = startRequest({
        host: "127.0.0.1",
        port: gateway.ports.callers,
        path: `/${route}/${id}`,
        method: input.method ?? (route === "lookup" ? "GET" : "POST"),
        agent: input.agent ?? false,
        headers: {
          Host: HOST,
          "Anvilrail-Request-Id": id,
          "Anvilrail-Deadline-Ms": String(timeout),
          Authorization: `Bearer ${key}`,
          ...(isPrompt
            ? {
              "Anvilrail-Model": "m",
              "Anvilrail-Token-Usage": `${prompt},${output}`,
              "Anvilrail-Prompt-Prefix":
                `a1:${Math.floor(prompt / 2)},${(this.#sequence + 4096).toString(16)}:${
                  prompt - Math.floor(prompt / 2)
                }`,
            }
            : {}),
          ...input.headers,
        },
      });
      const finish = (end) => {
        if (call.endedAt !== undefined) return;
        clearTimeout(timer);
        call.endedAt = this.now();
        call.end = end;
        call.kept = outgoing.reusedSocket;
        resolve(call);
      };
      const timer = setTimeout(() => {
        finish("given up");
        outgoing.destroy();
      }, input.patience ?? timeout + 1_000);
      outgoing.on("error", (error) => finish(error.code ?? error.message));
      outgoing.on("response", (incoming) => {
        call.status = incoming.statusCode;
        call.retryAfter = incoming.headers["retry-after"];
        call.sealed =
          String(incoming.headers["anvilrail-replica-seal"] ?? "")
            .endsWith(`.${id}`);
        let body = "";
        incoming.on("data", (bytes) => {
          body += bytes;
          call.events = body.split("\n\n").length - 1;
        });
        incoming.on("error", () => {});
        incoming.on("close", () => {
          call.complete = incoming.complete;
          call.body = isPrompt ? undefined : body.slice(0, 200);
          finish(incoming.complete ? "complete" : "cut off");
        });
      });
      outgoing.end(isPrompt ? "prompt" : undefined);
    });
  }

  /** All requests that replicas began to run. */
  listRuns() {
    return this.replicas.flatMap((replica) => replica.runs);
  }

  /** Creates an agent that keeps channels open for many requests. */
  createAgent() {
    return new Agent({ keepAlive: true });
  }

  async stop() {
    await Promise.all(this.gateways.map((gateway) => gateway.kill()));
    for (const replica of this.replicas) replica.stop();
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else console.log(this.folder);
  }

  writeRecord(path, { verdict, lines }) {
    const text = [
      `verdict: ${verdict}`,
      `trouble: ${HAS_TROUBLE ? "yes" : "no"}`,
      ...lines,
      "",
      "events",
      ...this.#record,
      "",
      "calls: id vm route key sent_ms ended_ms status sealed complete events channel end",
      ...this.calls.map((call) =>
        [
          call.id,
          call.vm,
          call.route,
          call.key,
          call.sentAt,
          call.endedAt ?? "-",
          call.status,
          call.sealed ? "sealed" : "-",
          call.complete ? "complete" : "-",
          call.events,
          call.kept ? "kept" : "new",
          call.end ?? "open",
        ].join(" ")
      ),
      "",
      "runs: id replica tenant path at_ms",
      ...this.listRuns().map((run) =>
        [run.id, run.replica, run.tenant ?? "-", run.path,
          run.at - this.#startedAt].join(" ")
      ),
      "",
    ].join("\n");
    writeFileSync(path, text);
  }
}

/**
 * Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case
 * couldn't run. `play` returns `{ system, broken, lines }`.
 */
export async function runCase(moduleUrl, play) {
  const record = join(dirname(fileURLToPath(moduleUrl)), "record.txt");
  const systems = [];
  const killAll = () => {
    for (const { gateways, folder } of systems) {
      for (const gateway of gateways) gateway.child?.kill("SIGKILL");
      if (folder !== undefined && process.env.KEEP_LOGS === undefined) {
        rmSync(folder, { recursive: true, force: true });
      }
    }
  };
  process.on("exit", killAll);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => process.exit(2));
  }
  const timer = setTimeout(() => {
    console.error("the case took too long");
    process.exit(2);
  }, MAX_RUN_MILLIS);
  try {
    const start = async (options) => {
      const system = new System();
      systems.push(system);
      await system.start(options);
      return system;
    };
    const { system, broken, lines } = await play(start);
    const verdict = broken ? "broken" : "held";
    await system.stop();
    system.writeRecord(record, { verdict, lines });
    console.log([`verdict: ${verdict}`, ...lines].join("\n"));
    clearTimeout(timer);
    process.exit(broken ? 1 : 0);
  } catch (error) {
    console.error(error);
    process.exit(2);
  }
}
