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

const STREAMS = 8;
const TIME_LIMIT_MS = 15_000;
const TIMEOUT_MS = 15_000;
const SHORTER_TIMEOUT_MS = 4_000;
/** Events of a whole stream, and the pause between two of them. */
const EVENTS = 34;
const PAUSE_MS = 400;

/** The manifest, with one time-out for streams that may be resumed. */
function createTimedManifest(version, timeoutMs) {
  const manifest = createManifest(version);
  for (const route of manifest.routes) {
    route.timeoutMs = route.name === "chat" ? timeoutMs : TIMEOUT_MS;
  }
  return manifest;
}

/** Starts a replica whose events name the version of its software. */
async function startReplica({ deployment, recorder }, id, version) {
  const replica = await Replica.start(id, "llm", { version });
  replica.serve = async ({ outgoing, run, head }) => {
    const from = Number(run.headers["last-event-id"] ?? 0);
    recorder.add(`${id} (${version}) runs ${run.id} after event ${from}`);
    outgoing.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    for (let number = from + 1; number <= EVENTS; number++) {
      if (outgoing.destroyed) return;
      outgoing.write(`id: ${number}\ndata: piece ${number} of ${version}\n\n`);
      await sleep(PAUSE_MS);
    }
    outgoing.end();
  };
  deployment.onStop(() => replica.stop());
  deployment.store.put("servers", id, replica.createEntry());
  return replica;
}

/** The versions that wrote the events of a body. */
function readVersions(body) {
  return [...new Set([...body.matchAll(/ of (v\d)\n/g)].map(([, v]) => v))];
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (input) => {
  const { deployment, recorder, hasTrouble } = input;
  const { store } = deployment;
  const old = [
    await startReplica(input, "i-1", "v1"),
    await startReplica(input, "i-2", "v1"),
  ];
  store.put("op", "config", createTimedManifest(1, TIMEOUT_MS));
  const names = ["front-1", "front-2", "front-3"];
  for (const name of names) await deployment.startVm(name);
  await deployment.waitReady(names);
  await sleep(17_000);

  const [first, second] = names.map((name) => deployment.vms.get(name));
  const startedAt = performance.now();
  const waitUntil = (millis) =>
    sleep(Math.max(0, startedAt + millis - performance.now()));
  const send = async (vm, id, limit, extra) => {
    recorder.add(`client sends ${id} to ${vm.name}, ${Math.round(limit)} ms`);
    const answer = await call(vm, {
      path: "/chat/x",
      headers: createHeaders(id, limit, { ...STREAM_HEADERS, ...extra }),
      giveUpMs: limit,
    });
    recorder.add(
      `client got for ${id}: status ${answer.status} complete ${answer.isComplete} events to ${
        readLastEvent(answer.body)
      } of ${readVersions(answer.body).join(",") || "none"}`,
    );
    return answer;
  };
  const streams = Array.from({ length: STREAMS }, async (_, index) => {
    const begun = await send(first, `s${index}`, TIME_LIMIT_MS);
    if (begun.isComplete) return readVersions(begun.body);
    const limit = TIME_LIMIT_MS - (performance.now() - startedAt);
    const rest = await send(second, `t${index}`, limit, {
      "Last-Event-Id": String(readLastEvent(begun.body)),
    });
    if (rest.status !== 200) return readVersions(begun.body);
    return [
      ...new Set([...readVersions(begun.body), ...readVersions(rest.body)]),
    ];
  });
  const hasShorter = process.env.TROUBLE !== "release";
  if (hasTrouble) {
    await waitUntil(1_000);
    await startReplica(input, "i-3", "v2");
    await startReplica(input, "i-4", "v2");
    recorder.add("i-3 and i-4 (v2) are registered");
    await waitUntil(1_500);
    for (const { id } of old) store.put("servers", id, undefined);
    recorder.add("the entries of i-1 and i-2 are removed; they serve on");
  }
  await waitUntil(2_000);
  if (hasShorter) {
    store.put("op", "config", createTimedManifest(2, SHORTER_TIMEOUT_MS));
    recorder.add(`the manifest lowers timeoutMs to ${SHORTER_TIMEOUT_MS}`);
  }
  if (hasTrouble) {
    await waitUntil(11_000);
    for (const replica of old) replica.stop();
    recorder.add("i-1 and i-2 exit");
  }
  const versions = await Promise.all(streams);
  const joined = versions.filter((each) => each.length > 1);
  recorder.add(`${joined.length} of ${STREAMS} texts are of two versions`);
  return joined.length > 0;
});
