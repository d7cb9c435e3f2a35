/**
 * Tests with a gateway's process of callers outside the operators' control:
 * whatever they send, the process stays within its machine's memory and
 * descriptors, and ordinary requests are answered.
 */
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import {
  CALLER_HOST,
  callGateway,
  createTrialConfiguration,
  StoreServer,
  TargetServer,
} from "../../platform/stand_ins/mod.ts";
import {
  type CrowdRequest,
  UncontrolledCallers,
} from "./uncontrolled_callers.ts";
import { VmProcess } from "./vm_process.ts";

/** As the process is started on a VM. */
const NODE_OPTIONS = ["--max-old-space-size=200", "--max-semi-space-size=8"];

const MEBIBYTE = 1_048_576;

/** The smallest machine of the described deployments, with fewer descriptors. */
const MACHINE = { memoryMegabytes: 160, fileDescriptors: 120 };
const MAX_PROCESS_BYTES = MACHINE.memoryMegabytes * MEBIBYTE;

/** More connections than the machine has descriptors. */
const CALLERS = 150;

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * MEBIBYTE,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Longer than any of these tests, so that none depends on the machine's speed. */
const MAX_WAIT_MILLIS = 120_000;
const SAMPLE_INTERVAL_MILLIS = 20;
const RETRY_INTERVAL_MILLIS = 500;
const KEY = "key-of-tours";

const HEAD = [
  "POST /book/x HTTP/1.1",
  `Host: ${CALLER_HOST}`,
  `Authorization: Bearer ${KEY}`,
  "Anvilrail-Request-Id: crowd",
  "Anvilrail-Deadline-Ms: 60000",
];

const CROWDS: Record<string, CrowdRequest> = {
  "bodies in large chunks that stop short of their end": {
    head: HEAD,
    bodyBytes: LIMITS.maxBodyBytes - 65_536,
    chunkBytes: 65_536,
  },
  "bodies in chunks of one byte that stop short of their end": {
    head: HEAD,
    bodyBytes: 20_000,
    chunkBytes: 1,
  },
  "bodies far over the limit that are not announced": {
    head: HEAD,
    bodyBytes: 3 * LIMITS.maxBodyBytes,
    chunkBytes: 65_536,
  },
  "bodies far over the limit that are announced": {
    head: HEAD,
    bodyBytes: 3 * LIMITS.maxBodyBytes,
    announcedBytes: 100 * LIMITS.maxBodyBytes,
  },
};

/** Starts a VM on a machine with little memory and few descriptors. */
async function startVm(t: ExecutionContext): Promise<VmProcess> {
  const folder = mkdtempSync(join(tmpdir(), "anvilrail-callers-"));
  const store = await StoreServer.start();
  const target = await TargetServer.start("app-1");
  store.put("servers", target.id, target.createEntry("app"));
  const configuration = createTrialConfiguration({
    version: 1,
    customers: [{ name: "tours", keys: [KEY], prepaid: 1_000_000 }],
  }) as { routes: object[] };
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeoutMs: MAX_WAIT_MILLIS,
  }));
  store.put("op", "config", { ...configuration, routes, limits: LIMITS });
  const vm = new VmProcess({
    name: "v1",
    storeAddress: store.address,
    folder,
    nodeOptions: NODE_OPTIONS,
  });
  vm.writeSettings({ machine: MACHINE });
  t.teardown(async () => {
    await vm.close();
    target.stop();
    store.stop();
    rmSync(folder, { recursive: true, force: true });
  });
  vm.start();
  t.true(await vm.waitReady(MAX_WAIT_MILLIS));
  return vm;
}

/**
 * Sends an ordinary request, again after each refusal that says that it was not
 * run, as callers do; a slow machine may refuse some. Returns the last status.
 */
async function callUntilAnswered(vm: VmProcess): Promise<number> {
  for (let number = 0;; number++) {
    const { status } = await callGateway({
      id: `ordinary-${number}`,
      port: vm.callerPort!,
      route: "read",
      key: KEY,
      timeoutMillis: MAX_WAIT_MILLIS,
    });
    if (status !== 503) return status;
    await sleep(RETRY_INTERVAL_MILLIS);
  }
}

/** Watches the memory and the descriptors of a process while it runs. */
class ProcessWatch {
  peakBytes = 0;
  peakDescriptors = 0;
  readonly #path: string;
  readonly #timer: NodeJS.Timeout;

  constructor(processId: number) {
    this.#path = `/proc/${processId}`;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MILLIS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    try {
      const status = readFileSync(`${this.#path}/status`, "utf8");
      const peak = /^VmHWM:\s+(\d+) kB$/m.exec(status);
      this.peakBytes = Math.max(this.peakBytes, Number(peak?.[1] ?? 0) * 1_024);
      const descriptors = readdirSync(`${this.#path}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
    } catch {
      // The process has ended, which the test checks by itself.
    }
  }
}

// Guards against a process that runs out of memory or descriptors by what
// callers send, so that the requests of all others on the VM end with it.
for (const [what, request] of Object.entries(CROWDS)) {
  test.serial(`a VM outlives many callers with ${what}`, async (t) => {
    t.timeout(MAX_WAIT_MILLIS);
    const vm = await startVm(t);
    const watch = new ProcessWatch(vm.processId!);
    const port = vm.callerPort!;
    const crowd = new UncontrolledCallers({ port, callers: CALLERS, request });
    await crowd.waitSent();
    const status = await callUntilAnswered(vm);
    watch.stop();
    crowd.stop();
    const { peakBytes, peakDescriptors } = watch;
    const peak = `${Math.round(peakBytes / MEBIBYTE)} MiB`;
    t.log(`peak ${peak}, ${peakDescriptors} descriptors`);
    t.true(vm.isRunning, "the process has ended");
    t.is(status, 200);
    t.true(peakBytes < MAX_PROCESS_BYTES, peak);
    t.true(
      peakDescriptors <= MACHINE.fileDescriptors,
      `${peakDescriptors} descriptors`,
    );
  });
}
