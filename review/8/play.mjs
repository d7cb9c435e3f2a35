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
  startDarkAddress,
  STREAM_HEADERS,
} from "../lib-2/system.mjs";

const STREAMS = 12;
const TIMEOUT_MS = 4_000;
const TIME_LIMIT_MS = 12_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (input) => {
  const { deployment, recorder, hasTrouble } = input;
  const { store } = deployment;
  for (const id of ["i-1", "i-2", "i-3"]) {
    const replica = await Replica.start(id, "llm");
    replica.onRun = ({ id: request, headers }) =>
      recorder.add(
        `${id} runs ${request} after event ${headers["last-event-id"] ?? 0}`,
      );
    deployment.onStop(() => replica.stop());
    store.put("servers", id, replica.createEntry());
  }
  store.put("op", "config", createManifest(1));
  const names = ["front-1", "front-2", "front-3"];
  for (const name of names) await deployment.startVm(name);
  await deployment.waitReady(names);
  // Longer than any stream may be taken up, so that the machines know the releases.
  await sleep(20_000);
  const [first, second] = names.map((name) => deployment.vms.get(name));

  const send = async (vm, id, limit, extra) => {
    recorder.add(`client sends ${id} to ${vm.name}`);
    const answer = await call(vm, {
      path: "/chat/x",
      headers: createHeaders(id, limit, { ...STREAM_HEADERS, ...extra }),
      giveUpMs: limit,
    });
    recorder.add(
      `client got for ${id}: status ${answer.status} complete ${answer.isComplete} events to ${
        readLastEvent(answer.body)
      } after ${Math.round(answer.ms)} ms${answer.gaveUp ? ", gave up" : ""}`,
    );
    return answer;
  };
  const startedAt = performance.now();
  const streams = Array.from({ length: STREAMS }, async (_, index) => {
    const answer = await send(first, `s${index}`, TIME_LIMIT_MS);
    if (answer.isComplete) return undefined;
    await sleep(2_500);
    // A client's second try, on a new channel, at another machine.
    const limit = TIME_LIMIT_MS - (performance.now() - startedAt);
    return await send(second, `t${index}`, limit, {
      "Last-Event-Id": String(readLastEvent(answer.body)),
      Resumes: `s${index}`,
    });
  });
  await sleep(1_000);
  if (hasTrouble) {
    await deployment.signal("front-1", "SIGKILL");
    if (process.env.TROUBLE === "down") {
      recorder.add("front-1 stays down; its machine refuses connections");
    } else {
      await startDarkAddress(deployment, first.ports.peers);
      recorder.add("front-1 has no power: its address is silent");
    }
  }
  const takeUps = (await Promise.all(streams)).filter((each) => each);
  const late = takeUps.filter(({ ms }) => ms > TIMEOUT_MS);
  const unanswered = late.filter((each) => each.ms > TIMEOUT_MS + 500);
  recorder.add(
    `${takeUps.length} take-ups; ${late.length} lasted over ${TIMEOUT_MS} ms, ${unanswered.length} of them had no final answer 500 ms later`,
  );
  return unanswered.length >= 8 && unanswered.length > late.length / 4;
});
