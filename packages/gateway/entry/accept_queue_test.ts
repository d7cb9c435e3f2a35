/** Tests from which wait on connections are refused, and until when. */
import test from "ava";
import {
  AcceptQueue,
  computeRetryAfter,
  type ProbeObserver,
} from "./accept_queue.ts";

/** A first-in, first-out queue of a server whose turns a test takes. */
function createServer() {
  let now = 0;
  let scheduled: (() => void)[] = [];
  let probes = 0;
  const waiting: (() => void)[] = [];
  const results: boolean[] = [];
  const queue = new AcceptQueue({
    readTime: () => now,
    scheduleTurn: (run) => void scheduled.push(run),
    startProbe: (observer: ProbeObserver) => {
      probes++;
      const probe = { close: () => {} };
      waiting.push(() => queue.recordProbe(probe));
      queueMicrotask(() => observer.recordEstablished());
      return probe;
    },
  });
  return {
    addCallers: (count: number) => {
      for (let number = 0; number < count; number++) {
        waiting.push(() =>
          void results.push(queue.recordCaller() !== undefined)
        );
      }
    },
    /** Takes turns; tells which of the callers accepted in them are refused. */
    takeTurns: async (count: number, millis: number) => {
      results.length = 0;
      for (let turn = 0; turn < count; turn++) {
        now += millis;
        waiting.shift()?.();
        const due = scheduled;
        scheduled = [];
        for (const run of due) run();
        await Promise.resolve();
      }
      return [...results];
    },
    countProbes: () => probes,
    countScheduled: () => scheduled.length,
  };
}

test("a burst that is accepted in short turns is served, with few probes", async (t) => {
  const server = createServer();
  server.addCallers(400);
  t.false((await server.takeTurns(450, 1)).includes(true));
  t.true(server.countProbes() < 10);
  t.is(server.countScheduled(), 0);
});

test("a VM whose turns are not full of new connections starts no probe", async (t) => {
  const server = createServer();
  for (let number = 0; number < 100; number++) {
    server.addCallers(1);
    t.deepEqual(await server.takeTurns(2, 60), [false]);
  }
  t.is(server.countProbes(), 0);
});

test("a few callers that waited through one long turn are served", async (t) => {
  const server = createServer();
  server.addCallers(20);
  await server.takeTurns(10, 10);
  t.true(server.countProbes() > 0);
  await server.takeTurns(1, 1_000);
  t.false((await server.takeTurns(10, 1)).includes(true));
});

test("callers that waited half a second in a long queue are refused, and others served once the wait is shorter", async (t) => {
  const server = createServer();
  server.addCallers(60);
  const slow = await server.takeTurns(60, 20);
  t.is(slow.indexOf(true), slow.lastIndexOf(false) + 1);
  t.true(slow.indexOf(true) >= 32 && slow.indexOf(true) <= 40);
  await server.takeTurns(20, 1);
  server.addCallers(60);
  t.false((await server.takeTurns(60, 1)).includes(true));
});

test("a queue that never empties is served while its wait is short", async (t) => {
  const server = createServer();
  server.addCallers(60);
  t.true((await server.takeTurns(40, 20)).includes(true));
  const later: boolean[] = [];
  for (let turn = 0; turn < 200; turn++) {
    server.addCallers(1);
    later.push(...await server.takeTurns(1, 2));
  }
  t.false(later.slice(-100).includes(true));
});

test("refused callers return within the time that the queue takes, and in a third of theirs", (t) => {
  const input = { wait: 600, least: 100, timeout: 3_000 };
  t.is(computeRetryAfter(input, () => 0), 100);
  t.is(computeRetryAfter(input, () => 0.5), 400);
  t.is(computeRetryAfter({ ...input, timeout: 900 }, () => 0.9), 300);
});
