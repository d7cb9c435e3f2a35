/** Runs a gateway in a process of its own, as it would run on a VM. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Millis } from "../core/mod.ts";

/** Path of the gateway's program in the build output. */
const PROGRAM = fileURLToPath(
  new URL("../cli/gateway_main.js", import.meta.url),
);

/** Time limit for a planned stop. */
const MAX_STOP_TIME: Millis = 5_000;

/** Lets the kernel choose the port, so that it can't be taken before. */
const ANY_PORT = "127.0.0.1:0";

/** The log line with the ports on which a process listens. */
const STARTED =
  /\bevent=started\b.* callers=\S+:(?<callers>\d+) readiness=\S+:(?<readiness>\d+)/;

/** Interval at which a VM's readiness is polled. */
const READY_POLL_INTERVAL: Millis = 50;

/** Options of a VM's process. */
export interface VmOptions {
  readonly name: string;
  readonly storeAddress: string;
  /** Directory for its settings file and its log. */
  readonly folder: string;
  /** Options of Node.js for the process; none if absent. */
  readonly nodeOptions?: readonly string[];
}

/** Ports on which a VM's process listens. */
interface VmPorts {
  readonly callers: number;
  readonly readiness: number;
}

/** Starts, signals and ends the process of one VM, across restarts. */
export class VmProcess {
  readonly name: string;
  /** Number of times that the process has been started. */
  incarnation = 0;
  readonly #options: VmOptions;
  readonly #settingsPath: string;
  readonly #log: WriteStream;
  readonly #killOnExit = () => this.#child?.kill("SIGKILL");
  #child: ChildProcess | undefined;
  /** Undefined while the process doesn't listen. */
  #ports: VmPorts | undefined;
  #exited: Promise<void> = Promise.resolve();

  /** Writes the VM's settings file; doesn't start it yet. */
  constructor(options: VmOptions) {
    this.name = options.name;
    this.#options = options;
    this.#settingsPath = join(options.folder, `${options.name}.jsonc`);
    const logPath = join(options.folder, `${options.name}.log`);
    this.#log = createWriteStream(logPath, { flags: "a" });
    this.writeSettings();
    process.on("exit", this.#killOnExit);
  }

  /**
   * Port on which the VM accepts callers' requests; a new one after each start,
   * and undefined while the process doesn't listen.
   */
  get callerPort(): number | undefined {
    return this.#ports?.callers;
  }

  /** Id of the process; undefined while none is running. */
  get processId(): number | undefined {
    return this.#child?.pid;
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
      [
        ...this.#options.nodeOptions ?? [],
        PROGRAM,
        "gateway",
        "--settings",
        this.#settingsPath,
      ],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
    createInterface({ input: child.stdout }).on("line", (line) => {
      if (this.#child === child) this.#ports ??= parseStartedPorts(line);
    });
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.on("exit", () => {
        if (this.#child === child) {
          this.#child = undefined;
          this.#ports = undefined;
        }
        resolve();
      });
    });
  }

  /**
   * Writes the settings file, with some settings changed; only half of it if it
   * is to be found while it is being written.
   */
  writeSettings(
    changed: object = {},
    options: { readonly isHalf?: boolean } = {},
  ): void {
    const text = formatSettings(this.#options, changed);
    const length = options.isHalf === true ? text.length / 2 : text.length;
    writeFileSync(this.#settingsPath, text.slice(0, length));
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
    const port = this.#ports?.readiness;
    if (port === undefined) return Promise.resolve(false);
    return new Promise((resolve) => {
      const request = get(
        { host: "127.0.0.1", port, timeout: 500 },
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

function formatSettings(options: VmOptions, changed: object): string {
  return JSON.stringify({
    vm: options.name,
    dataCentre: "here-a",
    regions: { "here-a": "here" },
    callers: ANY_PORT,
    readiness: ANY_PORT,
    peers: ANY_PORT,
    store: { address: options.storeAddress },
    stopMillis: MAX_STOP_TIME,
    ...changed,
  });
}

function parseStartedPorts(line: string): VmPorts | undefined {
  const ports = STARTED.exec(line)?.groups;
  if (ports === undefined) return undefined;
  return {
    callers: Number(ports["callers"]),
    readiness: Number(ports["readiness"]),
  };
}
