import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  call,
  createHeaders,
  createManifest,
  readLastEvent,
  Replica,
  runCase,
  sleep,
  STREAM_HEADERS,
} from "../lib-2/system.mjs";

/** One second of the traffic of zone addis-b, which has one machine, at once. */
const CLUMP = 56;
/** Kept channels whose next request comes about 3 s after the signal. */
const KEPT = 40;
const TIMEOUT_MS = 15_000;
/** What the rule excuses: requests sent no later than this after SIGTERM. */
const EXCUSED_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (input) => {
  const { deployment, recorder, hasTrouble } = input;
  const { store } = deployment;
  let handleFirstRun;
  const firstRun = new Promise((resolve) => (handleFirstRun = resolve));
  for (const id of ["i-1", "i-2", "i-3"]) {
    const replica = await Replica.start(id, "llm", { events: 30 });
    replica.onRun = ({ id: request }) => {
      recorder.add(`${id} runs ${request}`);
      handleFirstRun();
    };
    deployment.onStop(() => replica.stop());
    store.put("servers", id, replica.createEntry());
  }
  const manifest = createManifest(1);
  for (const route of manifest.routes) route.timeoutMs = TIMEOUT_MS;
  store.put("op", "config", manifest);
  const names = ["front-1", "front-2"];
  for (const name of names) await deployment.startVm(name);
  await deployment.waitReady(names);
  await sleep(5_000);

  const vm = deployment.vms.get("front-1");
  const agents = Array.from(
    { length: KEPT },
    () => new Agent({ keepAlive: true, maxSockets: 1 }),
  );
  await Promise.all(agents.map((agent, index) =>
    call(vm, {
      path: "/read/x",
      method: "GET",
      body: "",
      headers: createHeaders(`first-${index}`, 3_000),
      agent,
    })
  ));
  const send = async (id, agent) => {
    const at = performance.now();
    const answer = await call(vm, {
      path: "/brief/x",
      agent,
      body: "p".repeat(12_000),
      headers: createHeaders(id, TIMEOUT_MS, STREAM_HEADERS),
    });
    return { ...answer, id, at };
  };
  const clump = Array.from(
    { length: CLUMP },
    (_, index) => send(`clump-${index}`, false),
  );
  // The machine is at work on the clump by then.
  await firstRun;
  const signalledAt = performance.now();
  if (hasTrouble) await deployment.signal("front-1", "SIGTERM");
  const later = [];
  for (const [index, agent] of agents.entries()) {
    await sleep(
      Math.max(0, signalledAt + 2_990 + index * 3 - performance.now()),
    );
    later.push(send(`later-${index}`, agent));
  }
  let cut = 0;
  for (const answer of await Promise.all(later)) {
    const after = answer.at - signalledAt;
    const isCut = answer.status === 200 && !answer.isComplete;
    if (isCut && after > EXCUSED_MS) cut++;
    recorder.add(
      `${answer.id} sent ${
        after.toFixed(1)
      } ms after the signal: status ${answer.status} ${
        isCut ? "cut" : "complete"
      } events to ${readLastEvent(answer.body)} after ${
        Math.round(answer.ms)
      } ms`,
    );
  }
  recorder.add(`${cut} requests sent over ${EXCUSED_MS} ms after it were cut`);
  await Promise.all(clump);
  return cut > 0;
});
