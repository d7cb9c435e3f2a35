/** Tests which requests a draining VM admits. */
import test from "ava";
import { isAdmittedDuringDrain } from "./is_admitted_during_drain.ts";

const DRAIN_TIMES = { startedAt: 1_000, endsAt: 8_300 };

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
