/**
 * Some model replicas spoil a few of their answers: one header line has a space in
 * its name. Counts the requests of kept channels that gateways passed on to the
 * sound replicas of another service, and whose channel then ends without an answer.
 */
import { createManifest, HAS_TROUBLE, runCase, sleep } from "../lib/system.mjs";

const KEY = "key-of-depots";
const CALL_INTERVAL_MILLIS = 14;
/** Work of a plain request, as on the sheet of depo-log-grown. */
const WORK_MILLIS = 86;

/** The doses that the site file has for `garble`. */
const FAULTY_SHARE = 0.6;
const SPOILT_SHARE = 0.03;
const SPELL_MILLIS = 5_000;
const PAUSE_MILLIS = 5_000;
const SPELLS = 5;

/** The platform starts a process that has ended again after a short delay. */
const RESTART_MILLIS = 500;

/** The rule's own bound. */
const MAX_LOST = 3;

await runCase(import.meta.url, async (start) => {
  const system = await start({
    manifest: createManifest({
      version: 1,
      tenants: [{ name: "depots", apiKeys: [KEY], prepaid: 10_000_000 }],
    }),
    apps: 3,
    engines: 5,
  });
  await sleep(2_000);
  const apps = system.replicas.filter(({ service }) => service === "ledger-app");
  const engines = system.replicas.filter((each) => !apps.includes(each));
  for (const replica of apps) replica.workMillis = WORK_MILLIS;
  let isSpell = false;
  let spoilt = 0;
  for (const replica of engines.slice(0, engines.length * FAULTY_SHARE)) {
    // Reaches 1 once in 1 / SPOILT_SHARE answers.
    let part = Math.random();
    replica.intercept = (request) => {
      if (!isSpell) return false;
      part += SPOILT_SHARE;
      if (part < 1) return false;
      part -= 1;
      spoilt++;
      const id = request.headers["anvilrail-request-id"];
      replica.runs.push({
        id,
        replica: replica.id,
        path: request.url,
        at: Date.now(),
      });
      system.note(`${replica.id} spoils the answer to ${id}`);
      request.socket.write(
        "HTTP/1.1 200 OK\r\n" +
          `Anvilrail-Request-Id: ${id}\r\nAnvilrail-Replica-Seal: s.${id}\r\n` +
          "Cache Control: no-store\r\n" +
          "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
      );
      request.socket.end("id: 1\ndata: piece 1\n\n");
      return true;
    };
  }
  const ends = [];
  const watch = setInterval(() => {
    for (const gateway of system.gateways) {
      const end = gateway.ownEnds.at(-1);
      if (gateway.child !== undefined || end === undefined || end.isNoted) {
        continue;
      }
      end.isNoted = true;
      ends.push(gateway.name);
      system.note(`${gateway.name} has ended by itself, with code ${end.code}`);
      setTimeout(() => gateway.start(), RESTART_MILLIS);
    }
  }, 20);
  const agent = system.createAgent();
  const calls = [];
  const sendFor = async (millis) => {
    const end = system.now() + millis;
    while (system.now() < end) {
      const count = calls.length;
      const gateway = system.gateways[count % system.gateways.length];
      const prompt = Math.floor(count / 3) % 2 === 0 ? undefined : 400;
      calls.push(system.call(gateway, {
        route: prompt === undefined ? "entry" : "flag",
        key: KEY,
        agent,
        ...(prompt === undefined ? {} : { prompt }),
      }));
      await sleep(CALL_INTERVAL_MILLIS);
    }
  };
  for (let spell = 0; spell < SPELLS; spell++) {
    await sendFor(PAUSE_MILLIS);
    isSpell = HAS_TROUBLE;
    await sendFor(SPELL_MILLIS);
    isSpell = false;
  }
  await sendFor(PAUSE_MILLIS);
  const ended = await Promise.all(calls);
  clearInterval(watch);
  agent.destroy();
  const ranAtSound = new Set(
    apps.flatMap((replica) => replica.runs.map((run) => run.id)),
  );
  const lost = ended.filter((call) =>
    ranAtSound.has(call.id) && call.kept && call.status === 0 &&
    call.end !== "given up"
  );
  return {
    system,
    broken: lost.length > MAX_LOST,
    lines: [
      `requests: ${ended.length}, spoilt answers: ${spoilt}`,
      `gateway processes that ended by themselves: ${ends.length}`,
      `requests of kept channels that sound replicas ran, without an answer: ${lost.length}`,
      `all requests whose channel ended without an answer: ${
        ended.filter((call) => call.status === 0 && call.end === "ECONNRESET")
          .length
      }`,
      `streams that were cut off: ${
        ended.filter((call) => call.status === 200 && !call.complete).length
      }`,
    ],
  };
});
