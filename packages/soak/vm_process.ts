/** One gateway as a process of its own, as it runs on a VM. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { get } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Millis } from "../core/mod.ts";

/** Where the gateway's program is, beside this one. */
const PROGRAM = fileURLToPath(
  new URL("../cli/gateway_main.js", import.meta.url),
);

/** Time that a planned stop takes at the longest. */
const MAX_STOP_TIME: Millis = 5_000;

/** Pause between two looks at whether a VM is ready. */
const READY_POLL_INTERVAL: Millis = 50;

/** What a VM's process is started with. */
export interface VmOptions {
  readonly name: string;
  readonly storeAddress: string;
  /** Where its settings and its log are written. */
  readonly folder: string;
}

/** Starts, signals and ends one VM's process; it is known by its id. */
export class VmProcess {
  readonly name: string;
  /** Rises with each start. */
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

  static async create(options: VmOptions): Promise<VmProcess> {
    return new VmProcess(options, await findFreePorts(3));
  }

  get callerPort(): number {
    return this.#ports[0]!;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Starts the process unless it runs. */
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

  /** Sends a signal to the process that was started here, if it runs. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Resolves when the process has ended, and at once if none runs. */
  waitExit(): Promise<void> {
    return this.#exited;
  }

  /** Whether the VM takes new connections. */
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

  /** Resolves with whether it became ready within a time. */
  async waitReady(timeout: Millis): Promise<boolean> {
    const end = performance.now() + timeout;
    while (performance.now() < end) {
      if (await this.isReady()) return true;
      await new Promise((done) => setTimeout(done, READY_POLL_INTERVAL));
    }
    return false;
  }

  /** Ends the process for good and closes its log. */
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

/** Finds ports that nobody listens on; they stay the VM's over restarts. */
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
