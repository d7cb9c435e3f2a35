/**
 * Runs the gateway's program as the deploy file says, one process for each VM,
 * with settings filled in from the project's template.
 */
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** The bounds of the small deployment depo-log that the template names. */
const BOUNDS = {
  budgetRatio: 0.2,
  budgetSlack: 56,
  configDeadlineMs: 3_000,
  graceS: 8,
};

/** Below the range from which the kernel takes ports of outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

const taken = new Set();

/** Returns ports of the loopback interface that were free a moment ago. */
async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT +
      Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (taken.has(port) || !await isFree(port)) continue;
    taken.add(port);
    ports.push(port);
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

/** Fills in the fields that the template uses. */
function fillTemplate(text, fields) {
  return text.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split(".").reduce((each, name) => each?.[name], fields);
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

export class GatewayProcess {
  name;
  ports;
  child;
  /** How the process ended, if it did so by itself. */
  ownEnds = [];

  static async create(
    { name, folder, store, zone = "here-a", zones, bounds = {} },
  ) {
    const gateway = new GatewayProcess();
    const [callers, readiness, operators, peers] = await findPorts(4);
    Object.assign(gateway, {
      name,
      folder,
      ports: { callers, readiness, operators, peers },
      settings: join(folder, `${name}.jsonc`),
      log: join(folder, `${name}.log`),
    });
    const fields = {
      node: name,
      zone,
      zones: zones ?? { "here-a": "here" },
      ip: "127.0.0.1",
      listen: {
        front: `127.0.0.1:${callers}`,
        ready: `127.0.0.1:${readiness}`,
      },
      portRange: [peers, peers],
      platform: { address: store.address, writesPerS: 800 },
      bounds: { ...BOUNDS, ...bounds },
    };
    const template = readFileSync(join(ROOT, "deploy/gateway.jsonc"), "utf8")
      .replace("{{ip}}:9464", `127.0.0.1:${operators}`);
    writeFileSync(gateway.settings, fillTemplate(template, fields));
    return gateway;
  }

  start() {
    const words = readRunWords();
    const output = createWriteStream(this.log, { flags: "a" });
    const child = spawn(process.execPath, [...words, this.settings], {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, HOME: process.env.HOME },
    });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    this.child = child;
    child.on("exit", (code, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.ownEnds.push({ at: Date.now(), code, signal });
    });
  }

  /** Sends a signal; an end by SIGKILL is not counted as the gateway's own. */
  kill(signal = "SIGKILL") {
    const { child } = this;
    if (child === undefined) return Promise.resolve();
    if (signal !== "SIGKILL") return void child.kill(signal);
    this.child = undefined;
    const ended = new Promise((done) => child.on("exit", done));
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    return ended;
  }

  isReady() {
    return new Promise((resolve) => {
      const request = get(
        { host: "127.0.0.1", port: this.ports.readiness, path: "/-/ready",
          timeout: 500, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }
}

/** Words of the deploy file's command after `node`, without the settings' path. */
function readRunWords() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, run] = /^run = "(.*)"$/m.exec(text);
  return run.split(" ").slice(1, -1);
}
