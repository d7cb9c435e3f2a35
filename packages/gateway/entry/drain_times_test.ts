/** Tests the times of a planned stop and which requests it admits. */
import test from "ava";
import { computeDrainTimes, isAdmittedDuringDrain } from "./drain_times.ts";

const DRAIN_TIMES = { signalledAt: 1_000, endsAt: 8_300 };

test("every request is admitted until the load balancer can have noticed the stop", (t) => {
  t.true(isAdmittedDuringDrain(DRAIN_TIMES, { now: 1_000, deadline: 16_000 }));
  t.true(isAdmittedDuringDrain(DRAIN_TIMES, { now: 4_000, deadline: 19_000 }));
});

test("later only requests whose deadline is not after the end of the drain are admitted", (t) => {
  t.true(isAdmittedDuringDrain(DRAIN_TIMES, { now: 6_000, deadline: 7_500 }));
  t.true(isAdmittedDuringDrain(DRAIN_TIMES, { now: 6_000, deadline: 8_300 }));
  t.false(isAdmittedDuringDrain(DRAIN_TIMES, { now: 6_000, deadline: 8_301 }));
  t.false(isAdmittedDuringDrain(DRAIN_TIMES, { now: 4_001, deadline: 19_001 }));
});

const STOP = { stopTimeout: 8_000, reserve: 800 };

// Guards against requests that are taken, or answered, by a clock that began
// after the one of whoever kills the process.
test("a stop counts from the earliest time of its signal", (t) => {
  const times = computeDrainTimes({ now: 1_300, signalledAt: 1_000, ...STOP });
  t.deepEqual(times, { signalledAt: 1_000, endsAt: 8_200 });
});

test("a signal that may have waited for long ends requests early by a bounded time", (t) => {
  const times = computeDrainTimes({ now: 6_000, signalledAt: 1_000, ...STOP });
  t.deepEqual(times, { signalledAt: 1_000, endsAt: 12_850 });
});
