/** Runs a gateway in a process of its own, as it would run on a VM. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { get } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Millis } from "../core/mod.ts";

/** Path of the gateway's program in the build output. */
const PROGRAM = fileURLToPath(
  new URL("../cli/gateway_main.js", import.meta.url),
);

/** Time limit for a planned stop. */
const MAX_STOP_TIME: Millis = 5_000;

/** Interval at which a VM's readiness is polled. */
const READY_POLL_INTERVAL: Millis = 50;

/** Options of a VM's process. */
export interface VmOptions {
  readonly name: string;
  readonly storeAddress: string;
  /** Directory for its settings file and its log. */
  readonly folder: string;
}

/** Starts, signals and ends the process of one VM, across restarts. */
export class VmProcess {
  readonly name: string;
  /** Number of times that the process has been started. */
  incarnation = 0;
  readonly #settingsPath: string;
  readonly #log: WriteStream;
  readonly #ports: readonly number[];
  readonly #killOnExit = () => this.#child?.kill("SIGKILL");
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();

  private constructor(options: VmOptions, ports: readonly number[]) {
    this.name = options.name;
    this.#ports = ports;
    this.#settingsPath = join(options.folder, `${options.name}.jsonc`);
    const logPath = join(options.folder, `${options.name}.log`);
    this.#log = createWriteStream(logPath, { flags: "a" });
    writeFileSync(this.#settingsPath, formatSettings(options, ports));
    process.on("exit", this.#killOnExit);
  }

  /** Writes the VM's settings file with free ports; doesn't start it yet. */
  static async create(options: VmOptions): Promise<VmProcess> {
    return new VmProcess(options, await findFreePorts(3));
  }

  /** Port on which the VM accepts callers' requests. */
  get callerPort(): number {
    return this.#ports[0]!;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.#child !== undefined) return;
    this.incarnation++;
    const child = spawn(
      process.execPath,
      [PROGRAM, "gateway", "--settings", this.#settingsPath],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.on("exit", () => {
        if (this.#child === child) this.#child = undefined;
        resolve();
      });
    });
  }

  /** Sends a signal to the process if it is running. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Resolves when the process has exited, or at once if none is running. */
  waitExit(): Promise<void> {
    return this.#exited;
  }

  /** Returns whether the VM's readiness endpoint answers with 200. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const request = get(
        { host: "127.0.0.1", port: this.#ports[1], timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  /** Polls until the VM is ready; returns false if the timeout passes first. */
  async waitReady(timeout: Millis): Promise<boolean> {
    const end = performance.now() + timeout;
    while (performance.now() < end) {
      if (await this.isReady()) return true;
      await new Promise((done) => setTimeout(done, READY_POLL_INTERVAL));
    }
    return false;
  }

  /** Kills the process and closes its log; the VM can't be started again. */
  async close(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.waitExit();
    process.off("exit", this.#killOnExit);
    this.#log.end();
  }
}

function formatSettings(options: VmOptions, ports: readonly number[]): string {
  const [callers, readiness, peers] = ports.map((port) => `127.0.0.1:${port}`);
  return JSON.stringify({
    vm: options.name,
    dataCentre: "here-a",
    regions: { "here-a": "here" },
    callers,
    readiness,
    peers,
    store: { address: options.storeAddress },
    stopMillis: MAX_STOP_TIME,
  });
}

/** Returns free loopback ports, which the VM keeps across its restarts. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((done) => server.listen(0, "127.0.0.1", done))
    ),
  );
  const ports = servers.map((each) => (each.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}
