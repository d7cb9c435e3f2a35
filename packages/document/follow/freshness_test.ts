/** Tests of freshness under partitions and pauses. */
import test from "ava";
import { StalePolicy } from "../../core/mod.ts";
import {
  computeFreshnessState,
  createFreshness,
  createFreshnessReport,
  FreshnessState,
  isRefusedAsStale,
  recordFreshnessReport,
  recordStoreAnswer,
} from "../mod.ts";

const STALE_AFTER = 1_000;

test("a VM that restarts without table and peers says that it cannot be sure", (t) => {
  const state = computeFreshnessState(createFreshness(), {
    now: 5,
    staleAfter: STALE_AFTER,
  });
  t.is(state, FreshnessState.Unconfirmed);
  t.true(isRefusedAsStale(state, StalePolicy.Refuse));
  t.false(isRefusedAsStale(state, StalePolicy.CarryOn));
});

test("two VMs that are cut off together grow stale, whatever they tell each other", (t) => {
  let left = recordStoreAnswer(createFreshness(), 0);
  let right = recordStoreAnswer(createFreshness(), 100);
  for (let now = 200; now <= 2_000; now += 100) {
    const word = (from: typeof left) =>
      createFreshnessReport(from, { version: 3, now });
    const input = { ownVersion: 3, askedAt: now };
    left = recordFreshnessReport(left, { ...input, report: word(right) });
    right = recordFreshnessReport(right, { ...input, report: word(left) });
  }
  for (const each of [left, right]) {
    const state = (now: number) =>
      computeFreshnessState(each, { now, staleAfter: STALE_AFTER });
    t.is(state(1_100), FreshnessState.Confirmed);
    t.is(state(1_101), FreshnessState.Stale);
  }
});

test("a peer with another version, or a slow answer, confirms nothing new", (t) => {
  const start = recordStoreAnswer(createFreshness(), 0);
  const word = { version: 4, confirmedAge: 0 };
  const other = recordFreshnessReport(start, {
    report: word,
    ownVersion: 3,
    askedAt: 900,
  });
  t.deepEqual(other, start);
  const slow = recordFreshnessReport(start, {
    report: word,
    ownVersion: 4,
    askedAt: 900,
  });
  t.is(slow.confirmedAt, 900);
  const wrong = { version: 4, confirmedAge: -5_000 };
  t.is(
    recordFreshnessReport(start, { report: wrong, ownVersion: 4, askedAt: 10 })
      .confirmedAt,
    10,
  );
});
