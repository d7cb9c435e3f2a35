import test from "ava";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";

const RANGE = { initial: 300, max: 3_500 };

test("a limit grows with each call that exceeds it, up to its maximum", (t) => {
  for (const random of [0, 0.5, 0.999]) {
    const limit = new AdaptiveTimeout(RANGE);
    t.is(limit.value, RANGE.initial);
    let now = 0;
    for (let round = 0; round < 10; round++) {
      const before = limit.value;
      const startedAt = now;
      now += before;
      limit.recordExceeded({ startedAt, now, random });
      t.true(limit.value > before || before === RANGE.max);
      t.true(limit.value <= RANGE.max);
    }
    t.is(limit.value, RANGE.max);
  }
});

test("calls that fail together raise the limit once", (t) => {
  const limit = new AdaptiveTimeout(RANGE);
  const startTimes = [0, 0, 0, 100, 250];
  for (const startedAt of startTimes) {
    limit.recordExceeded({ startedAt, now: startedAt + 300, random: 0.5 });
  }
  t.is(limit.value, 1_050);
  limit.recordExceeded({ startedAt: 310, now: 1_360, random: 0 });
  t.is(limit.value, 3_150);
});

test("a quick call restores the initial limit, and a slow one keeps a margin", (t) => {
  const limit = new AdaptiveTimeout(RANGE);
  for (let now = 300; limit.value < RANGE.max; now += 5_000) {
    limit.recordExceeded({ startedAt: now - 300, now, random: 0 });
  }
  limit.recordDuration(1_200, 60_000);
  t.is(limit.value, 2_400);
  limit.recordDuration(60, 61_000);
  t.is(limit.value, RANGE.initial);
});

test("a limit grows past the time that a path takes within a configuration's deadline", (t) => {
  const limit = new AdaptiveTimeout(RANGE);
  let elapsed = 0;
  while (limit.value <= 900) {
    const startedAt = elapsed;
    elapsed += limit.value;
    limit.recordExceeded({ startedAt, now: elapsed, random: 0 });
  }
  // The call that gets through, and pauses of 300 ms between the calls.
  t.true(elapsed + 900 + 2 * 300 < 3_000);
});

test("a call over a slow path does not shorten the limit below the time that the path takes", (t) => {
  const limit = new AdaptiveTimeout(RANGE);
  let exceeded = 0;
  for (let now = 0; now < 60_000;) {
    const startedAt = now;
    now += Math.min(1_700, limit.value);
    if (limit.value > 1_700) limit.recordDuration(1_700, now);
    else {
      exceeded++;
      limit.recordExceeded({ startedAt, now, random: 0 });
    }
  }
  // 300 and 900 ms are too short, and never again.
  t.is(exceeded, 2);
});
