/**
 * Some replicas spoil a few of their answers: they send bytes that are no answer
 * in HTTP. Counts the requests that are unanswered at their route's `timeoutMs`
 * and half a second later.
 */
import { createManifest, HAS_TROUBLE, runCase, sleep } from "../lib/system.mjs";

const KEY = "key-of-depots";
const ROUTE_TIMEOUT = 4_000;
/** The clients wait longer than the operator wants requests kept waiting. */
const CLIENT_TIMEOUT = 6_000;
const CALL_INTERVAL_MILLIS = 16;

/** The doses that the site file has for `garble`. */
const FAULTY_SHARE = 0.6;
const SPOILT_SHARE = 0.03;
const SPELL_MILLIS = 5_000;
const PAUSE_MILLIS = 3_000;
const SPELLS = 7;

/** The rule's own bounds: how long after `timeoutMs`, and how many. */
const LATE_MILLIS = 500;
const MIN_COUNT = 8;

/** Returns the bytes in place of an answer, by the kind of damage. */
const SPOILT_ANSWERS = {
  "a status of 000": (id) =>
    `HTTP/1.1 000 OK\r\n${formatHead(id)}Content-Length: 2\r\n\r\nok`,
  "a header name with a space": (id) =>
    `HTTP/1.1 200 OK\r\n${formatHead(id)}Cache Control: no-store\r\n` +
    "Content-Length: 2\r\n\r\nok",
  "a switch to another protocol": (id) =>
    `HTTP/1.1 101 Switching Protocols\r\n${formatHead(id)}` +
    "Connection: Upgrade\r\nUpgrade: other\r\n\r\n",
};
const KINDS = Object.keys(SPOILT_ANSWERS);

function formatHead(id) {
  return `Anvilrail-Request-Id: ${id}\r\nAnvilrail-Replica-Seal: s.${id}\r\n`;
}

await runCase(import.meta.url, async (start) => {
  const system = await start({
    manifest: createManifest({
      version: 1,
      tenants: [{ name: "depots", apiKeys: [KEY], prepaid: 10_000_000 }],
    }),
    apps: 5,
    engines: 1,
  });
  await sleep(2_000);
  const apps = system.replicas.filter(({ service }) => service === "ledger-app");
  const faulty = apps.slice(0, Math.floor(apps.length * FAULTY_SHARE));
  let isSpell = false;
  const spoilt = new Map();
  for (const replica of faulty) {
    // Counts up to one spoilt answer for each 1 / SPOILT_SHARE answers.
    let part = Math.random();
    replica.intercept = (request) => {
      if (!isSpell) return false;
      part += SPOILT_SHARE;
      if (part < 1) return false;
      part -= 1;
      const id = request.headers["anvilrail-request-id"];
      const kind = KINDS[spoilt.size % KINDS.length];
      // A repeated request may meet a second spoilt answer.
      spoilt.set(id, kind);
      replica.runs.push({
        id,
        replica: replica.id,
        path: request.url,
        at: Date.now(),
      });
      request.socket.end(SPOILT_ANSWERS[kind](id));
      return true;
    };
  }
  const calls = [];
  const sendFor = async (millis) => {
    const end = system.now() + millis;
    while (system.now() < end) {
      const gateway = system.gateways[calls.length % system.gateways.length];
      calls.push(system.call(gateway, {
        route: calls.length % 3 === 0 ? "lookup" : "entry",
        key: KEY,
        timeout: CLIENT_TIMEOUT,
      }));
      await sleep(CALL_INTERVAL_MILLIS);
    }
  };
  for (let spell = 0; spell < SPELLS; spell++) {
    await sendFor(PAUSE_MILLIS);
    isSpell = HAS_TROUBLE;
    system.note(isSpell ? `spell ${spell + 1} begins` : "no spell");
    await sendFor(SPELL_MILLIS);
    isSpell = false;
  }
  await sendFor(PAUSE_MILLIS);
  const ended = await Promise.all(calls);
  const hasAnswer = (call) => call.end === "complete";
  const isOpenAt = (call, millis) =>
    !hasAnswer(call) && call.end === "given up" ||
    call.endedAt - call.sentAt > millis;
  const unanswered = ended.filter((call) => isOpenAt(call, ROUTE_TIMEOUT));
  const late = ended.filter((call) =>
    isOpenAt(call, ROUTE_TIMEOUT + LATE_MILLIS)
  );
  const never = ended.filter((call) => call.end === "given up");
  return {
    system,
    broken: late.length >= MIN_COUNT && late.length > unanswered.length / 2,
    lines: [
      `requests: ${ended.length}, with a spoilt answer: ${spoilt.size}`,
      ...KINDS.map((kind) => {
        const ids = new Set(
          [...spoilt].filter((each) => each[1] === kind).map(([id]) => id),
        );
        const silent = never.filter((call) => ids.has(call.id));
        return `  ${kind}: ${ids.size}, without any answer: ${silent.length}`;
      }),
      `unanswered ${ROUTE_TIMEOUT} ms after they were sent: ${unanswered.length}`,
      `unanswered ${LATE_MILLIS} ms later: ${late.length}`,
      `without any answer until their clients left (${CLIENT_TIMEOUT + 1_000} ms): ${never.length}`,
    ],
  };
});
