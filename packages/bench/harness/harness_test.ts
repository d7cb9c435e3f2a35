/** Tests of the simulation harness: clock order, determinism and the fakes. */
import test from "ava";
import { Priority } from "../../core/mod.ts";
import { EngineEnd, FakeEngine, SMALL_ENGINE } from "./fake_engine.ts";
import { FakeLink } from "./fake_link.ts";
import { createZipfChoice, SeededRandom } from "./random.ts";
import { TimedTable } from "./timed_table.ts";
import { VirtualClock } from "./virtual_clock.ts";
import { createArrivals, PALIVOKNIH_MIX, SELAM_MIX } from "./workload.ts";

function createTestArrivals(seed: number) {
  return createArrivals({
    mix: SELAM_MIX,
    random: new SeededRandom(seed),
    requestsPerSecond: 50,
    duration: 2_000,
    waves: [{ start: 1_000, spread: 100, requests: 200 }],
  });
}

test("actions run in order of time, then of scheduling", async (t) => {
  const clock = new VirtualClock();
  const random = new SeededRandom(7);
  const observed: [number, number][] = [];
  for (let index = 0; index < 500; index++) {
    const delay = random.drawInteger(0, 20);
    clock.schedule(delay, () => observed.push([clock.readMonotonic(), index]));
  }
  await clock.runUntil(100);
  const sorted = [...observed].sort((left, right) =>
    left[0] - right[0] || left[1] - right[1]
  );
  t.is(observed.length, 500);
  t.deepEqual(observed, sorted);
  t.is(clock.readMonotonic(), 100);
});

test("a promise continuation runs at the virtual time at which the promise resolved", async (t) => {
  const clock = new VirtualClock();
  const observed: number[] = [];
  const run = async () => {
    await clock.wait(10);
    await Promise.resolve();
    observed.push(clock.readMonotonic());
    await clock.wait(5);
    observed.push(clock.readMonotonic());
  };
  void run();
  clock.schedule(11, () => observed.push(11));
  await clock.runUntil(20);
  t.deepEqual(observed, [10, 11, 15]);
});

test("a cancelled action does not run", (t) => {
  const clock = new VirtualClock();
  const cancel = clock.schedule(1, () => t.fail());
  cancel();
  clock.runSynchronouslyUntil(2);
  t.is(clock.readMonotonic(), 2);
});

test("the same seed gives the same arrivals, another seed gives others", (t) => {
  t.deepEqual(createTestArrivals(3), createTestArrivals(3));
  t.notDeepEqual(createTestArrivals(3), createTestArrivals(4));
});

test("arrivals are ordered by time and the burst stays within its spread", (t) => {
  const arrivals = createTestArrivals(3);
  const times = arrivals.map((each) => each.at);
  t.deepEqual(times, [...times].sort((left, right) => left - right));
  const inWave = times.filter((at) => at >= 1_000 && at < 1_100).length;
  t.true(inWave >= 200);
});

test("output tokens never exceed the maximum of the kind", (t) => {
  const arrivals = createArrivals({
    mix: PALIVOKNIH_MIX,
    random: new SeededRandom(1),
    requestsPerSecond: 500,
    duration: 10_000,
  });
  t.true(arrivals.length > 4_000);
  t.true(
    arrivals.every((each) => each.outputTokens <= each.kind.maxOutputTokens),
  );
});

test("a branch of a random source is independent of earlier draws", (t) => {
  const first = new SeededRandom(5);
  const second = new SeededRandom(5);
  second.uniform();
  t.is(
    first.createBranch("a").uniform(),
    second.createBranch("a").uniform(),
  );
});

test("a Zipf choice draws the first item most often", (t) => {
  const random = new SeededRandom(1);
  const choose = createZipfChoice(10, 1);
  const counts = Array.from({ length: 10 }, () => 0);
  for (let count = 0; count < 10_000; count++) counts[choose(random)]!++;
  t.true(counts[0]! > 3 * counts[4]!);
  t.true(counts[9]! > 0);
});

test("the table fails during an outage and answers otherwise", async (t) => {
  const clock = new VirtualClock();
  const table = new TimedTable({
    clock,
    random: new SeededRandom(1),
    latency: 4,
    outages: [{ start: 100, end: 200 }],
  });
  const write = () =>
    table.transact({ checks: [], writes: [{ key: "a", value: 1 }] });
  const observed: boolean[] = [];
  clock.schedule(
    0,
    () => void write().then((each) => observed.push(each.isRight())),
  );
  clock.schedule(
    150,
    () => void write().then((each) => observed.push(each.isRight())),
  );
  await clock.runUntil(300);
  t.deepEqual(observed, [true, false]);
  t.is(table.memory.peek("a")?.version, 1);
});

test("a link delays messages, queues them by bandwidth and loses them in a partition", (t) => {
  const clock = new VirtualClock();
  const link = new FakeLink({
    clock,
    oneWay: 30,
    bytesPerSecond: 1_000,
    partitions: [{ start: 1_000, end: 2_000 }],
  });
  const arrivals: number[] = [];
  const send = () => link.send(100, () => arrivals.push(clock.readMonotonic()));
  send();
  send();
  clock.schedule(900, send);
  clock.schedule(2_000, send);
  clock.runSynchronouslyUntil(3_000);
  t.deepEqual(arrivals, [130, 230, 2_130]);
  t.is(link.readCounts().lost, 1);
});

test("an engine serves safety requests first, reuses cached prefixes and breaks all jobs on a crash", (t) => {
  const clock = new VirtualClock();
  const engine = new FakeEngine({
    ...SMALL_ENGINE,
    maxBatch: 1,
    clock,
    random: new SeededRandom(1),
  });
  const ended: string[] = [];
  const firstTokens: number[] = [];
  const submit = (name: string, priority: Priority, poison = false) =>
    engine.submit({
      promptTokens: 1_000,
      outputTokens: 10,
      priority,
      poison,
      prefix: { id: "p", tokens: 900 },
      onToken: (index) => {
        if (index === 0) firstTokens.push(clock.readMonotonic());
      },
      onEnd: (end) => ended.push(`${name} ${end}`),
    });
  submit("draft", Priority.Bulk);
  clock.schedule(1, () => submit("bulk", Priority.Bulk));
  clock.schedule(2, () => submit("safety", Priority.Safety));
  clock.runSynchronouslyUntil(2_000);
  t.deepEqual(ended, [
    `draft ${EngineEnd.Complete}`,
    `safety ${EngineEnd.Complete}`,
    `bulk ${EngineEnd.Complete}`,
  ]);
  const [first = 0, second = 0, third = 0] = firstTokens;
  t.true(third - second < second - first);
  ended.length = 0;
  submit("poison", Priority.Safety, true);
  submit("victim", Priority.Bulk);
  clock.runSynchronouslyUntil(3_000);
  t.deepEqual(ended, [
    `poison ${EngineEnd.Broken}`,
    `victim ${EngineEnd.Broken}`,
  ]);
});
