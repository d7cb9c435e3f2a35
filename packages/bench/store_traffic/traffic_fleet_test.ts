/**
 * Tests that simulated store traffic is deterministic, that logs write fewer
 * rows, and that the fleet continues after outages and under throttling.
 */
import test from "ava";
import { MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  StoreLayout,
  TrafficFleet,
  type TrafficFleetOptions,
} from "./traffic_fleet.ts";

const DURATION = 12 * MILLIS_PER_SECOND;

function createFleet(options: Partial<TrafficFleetOptions> = {}): TrafficFleet {
  return new TrafficFleet({
    seed: 1,
    entries: 4,
    layout: StoreLayout.Rows,
    billInterval: 100,
    maxBillRowsInFlight: 1,
    duration: DURATION,
    onceShare: 0.1,
    requestsPerEntry: 5,
    ...options,
  });
}

async function runFleet(options: Partial<TrafficFleetOptions> = {}) {
  const fleet = createFleet(options);
  await fleet.clock.runUntil(DURATION);
  return {
    counts: fleet.readCounts(),
    seconds: fleet.meter.listSeconds(0, DURATION),
    waiting: fleet.countWaiting(),
  };
}

function sumWritten(seconds: readonly { readonly written: number }[]): number {
  return seconds.reduce((sum, each) => sum + each.written, 0);
}

test("runs with the same seed have equal traffic, and another seed gives different traffic", async (t) => {
  t.deepEqual(await runFleet(), await runFleet());
  t.notDeepEqual(await runFleet(), await runFleet({ seed: 2 }));
});

test("the log layout writes fewer rows than the row layout and refuses no request", async (t) => {
  const rows = await runFleet();
  const logs = await runFleet({ layout: StoreLayout.Logs });
  t.true(sumWritten(logs.seconds) < sumWritten(rows.seconds));
  t.is(logs.counts.requests, rows.counts.requests);
  t.is(logs.counts.withoutClaim, 0);
  t.is(logs.counts.withoutTokens, 0);
});

test("nothing is written during a store outage, and waiting operations are written after it", async (t) => {
  const start = 4 * MILLIS_PER_SECOND;
  const end = 8 * MILLIS_PER_SECOND;
  for (const layout of Object.values(StoreLayout)) {
    const { seconds, waiting, counts } = await runFleet({
      layout,
      outages: [{ start, end }],
    });
    // A transaction that was committed just before the outage is answered, and
    // counted, within the first second of it.
    t.is(sumWritten(seconds.slice(5, 8)), 0, layout);
    t.true(sumWritten(seconds.slice(8)) > 0, layout);
    t.true(waiting < 20, layout);
    t.true(counts.withoutTokens > 0, layout);
  }
});

test("a store that gets too many calls throttles them, and the fleet continues within its rate limit", async (t) => {
  const { seconds } = await runFleet({
    entries: 16,
    requestsPerEntry: 30,
    billInterval: 20,
    maxBillRowsInFlight: Infinity,
  });
  const throttled = seconds.reduce((sum, each) => sum + each.throttled, 0);
  t.true(throttled > 0);
  t.true(sumWritten(seconds) <= 300 * (seconds.length + 1));
});
