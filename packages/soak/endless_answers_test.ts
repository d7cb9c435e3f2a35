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
  CALLER_HOST,
  createTrialConfiguration,
  RawTarget,
  sendCall,
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

interface System {
  readonly vm: VmProcess;
  /** Targets of a sound service, by the path that leads to it. */
  call(path: string, id: string): Promise<{ readonly status: number }>;
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
    socket.write(
      `HTTP/1.1 200 OK\r\nAnvilrail-Request-Id: ${id}\r\n` +
        `Anvilrail-Replica-Seal: raw.${id}\r\n${head}`,
    );
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
    call: (path, id) =>
      sendCall({
        port: vm.callerPort!,
        path,
        method: "POST",
        body: "prompt",
        timeoutMillis: TIMEOUT_MILLIS,
        headers: {
          Host: CALLER_HOST,
          "Anvilrail-Request-Id": id,
          "Anvilrail-Deadline-Ms": String(TIMEOUT_MILLIS),
          Authorization: `Bearer ${KEY}`,
          ...(path === "/chat/" || path === "/brief/"
            ? {
              "Anvilrail-Token-Usage": "100,40",
              "Anvilrail-Prompt-Prefix": "a1:60,b2:40",
            }
            : {}),
        },
      }).catch(() => ({ status: 0 })),
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
    endless: "llm",
    sound: "app",
    answers: ENDLESS_STREAMS,
    endlessPath: "/chat/",
    soundPath: "/book/",
  },
  {
    what: "bodies",
    endless: "app",
    sound: "llm",
    answers: ENDLESS_BODIES,
    endlessPath: "/book/",
    soundPath: "/brief/",
  },
];

// Guards against a process that runs out of memory, or is kept busy, by what a
// faulty target sends, so that requests at sound targets end with it.
for (const { what, endlessPath, soundPath, ...services } of CASES) {
  test.serial(`${what} without end leave the memory of the VM and the requests of others alone`, async (t) => {
    const { vm, call } = await startSystem(t, services);
    const endless = Array.from(
      { length: ENDLESS_REQUESTS },
      (_, index) => call(endlessPath, `endless-${index}`),
    );
    const sound: Promise<{ readonly status: number }>[] = [];
    for (let index = 0; index < SOUND_REQUESTS; index++) {
      sound.push(call(soundPath, `sound-${index}`));
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
