/**
 * Tests with a gateway's process of targets that send bytes without end: neither
 * may it outgrow the smallest VM, nor may the requests of other callers wait.
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import {
  callGateway,
  createTrialConfiguration,
  formatRawHead,
  type GatewayAnswer,
  RawTarget,
  StoreServer,
  TargetServer,
} from "../../platform/stand_ins/mod.ts";
import { VmProcess } from "./vm_process.ts";

/** Memory of the smallest VM of the described deployments. */
const MAX_PROCESS_BYTES = 250 * 1_048_576;

/** As the process is started on a VM. */
const NODE_OPTIONS = ["--max-old-space-size=200", "--max-semi-space-size=8"];

const MAX_START_MILLIS = 20_000;
const KEY = "key-of-tours";
const ENDLESS_REQUESTS = 24;
const SOUND_REQUESTS = 30;
const SOUND_INTERVAL_MILLIS = 100;
/** Deadline of all requests. */
const TIMEOUT_MILLIS = 3_000;

const EVENT_STREAM = "Content-Type: text/event-stream\r\n\r\n";

/** Rest of the head, and what is repeated. */
const ENDLESS_STREAMS = [
  [EVENT_STREAM, "a line without end "],
  [EVENT_STREAM, ": a comment\n\n"],
  [EVENT_STREAM, "data: x\n\n"],
] as const;
const ENDLESS_BODIES = [["\r\n", "no answer "]] as const;

/** A VM and calls of it. */
interface System {
  readonly vm: VmProcess;
  /** Sends a call; one without prompt tokens states no size. */
  call(
    id: string,
    input: { readonly route: string; readonly promptTokens?: number },
  ): Promise<GatewayAnswer>;
}

/** Starts a VM, with endless targets for one service and sound ones for another. */
async function startSystem(
  t: ExecutionContext,
  input: {
    readonly endless: string;
    readonly sound: string;
    readonly answers: readonly (readonly [string, string])[];
  },
): Promise<System> {
  const { endless, sound, answers } = input;
  const folder = mkdtempSync(join(tmpdir(), "anvilrail-endless-"));
  const store = await StoreServer.start();
  let number = 0;
  const target = await RawTarget.start((socket, id, raw) => {
    const [head, text] = answers[number++ % answers.length]!;
    socket.write(`${formatRawHead(id)}${head}`);
    raw.writeWithoutEnd(socket, text);
  });
  const soundTarget = await TargetServer.start(`${sound}-1`);
  store.put("servers", "raw-1", {
    ...target.createEntry(endless),
    slots: ENDLESS_REQUESTS,
  });
  store.put("servers", soundTarget.id, soundTarget.createEntry(sound));
  const customers = [{ name: "tours", keys: [KEY], prepaid: 1_000_000 }];
  store.put(
    "op",
    "config",
    createTrialConfiguration({ version: 1, customers }),
  );
  const vm = new VmProcess({
    name: "v1",
    storeAddress: store.address,
    folder,
    nodeOptions: NODE_OPTIONS,
  });
  t.teardown(async () => {
    await vm.close();
    target.stop();
    soundTarget.stop();
    store.stop();
    rmSync(folder, { recursive: true, force: true });
  });
  vm.start();
  t.true(await vm.waitReady(MAX_START_MILLIS));
  await sleep(1_000);
  return {
    vm,
    call: (id, input) =>
      callGateway({
        ...input,
        id,
        port: vm.callerPort!,
        key: KEY,
        timeoutMillis: TIMEOUT_MILLIS,
      }),
  };
}

/** Returns the most memory that a process has had. */
function readPeakBytes(vm: VmProcess): number {
  const status = readFileSync(`/proc/${vm.processId}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * 1_024;
}

const CASES = [
  {
    what: "streams",
    services: { endless: "llm", sound: "app", answers: ENDLESS_STREAMS },
    endlessCall: { route: "chat", promptTokens: 100 },
    soundCall: { route: "book" },
  },
  {
    what: "streams of requests that state no size",
    services: { endless: "llm", sound: "app", answers: ENDLESS_STREAMS },
    endlessCall: { route: "chat" },
    soundCall: { route: "book" },
  },
  {
    what: "bodies",
    services: { endless: "app", sound: "llm", answers: ENDLESS_BODIES },
    endlessCall: { route: "book" },
    soundCall: { route: "brief", promptTokens: 100 },
  },
];

// Guards against a process that runs out of memory, or is kept busy, by what a
// faulty target sends, so that requests at sound targets end with it.
for (const { what, services, endlessCall, soundCall } of CASES) {
  test.serial(`${what} without end leave the memory of the VM and the requests of others alone`, async (t) => {
    const { vm, call } = await startSystem(t, services);
    const endless = Array.from(
      { length: ENDLESS_REQUESTS },
      (_, index) => call(`endless-${index}`, endlessCall),
    );
    const sound: Promise<GatewayAnswer>[] = [];
    for (let index = 0; index < SOUND_REQUESTS; index++) {
      sound.push(call(`sound-${index}`, soundCall));
      await sleep(SOUND_INTERVAL_MILLIS);
    }
    const statuses = (await Promise.all(sound)).map(({ status }) => status);
    t.deepEqual(statuses, Array(SOUND_REQUESTS).fill(200));
    await Promise.all(endless);
    t.is(vm.incarnation, 1);
    t.true(vm.isRunning);
    const peak = readPeakBytes(vm);
    t.true(peak < MAX_PROCESS_BYTES, `${Math.round(peak / 1_048_576)} MiB`);
    t.log(`peak ${Math.round(peak / 1_048_576)} MiB`);
  });
}
