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

test("a VM that restarts without store and peers is unconfirmed", (t) => {
  const state = computeFreshnessState(createFreshness(), {
    now: 5,
    staleAfter: STALE_AFTER,
  });
  t.is(state, FreshnessState.Unconfirmed);
  t.true(isRefusedAsStale(state, StalePolicy.Refuse));
  t.false(isRefusedAsStale(state, StalePolicy.CarryOn));
});

test("two VMs partitioned from the store become stale despite each other's reports", (t) => {
  let left = recordStoreAnswer(createFreshness(), 0);
  let right = recordStoreAnswer(createFreshness(), 100);
  for (let now = 200; now <= 2_000; now += 100) {
    const peerReport = (from: typeof left) =>
      createFreshnessReport(from, { version: 3, now });
    const input = { ownVersion: 3, askedAt: now };
    left = recordFreshnessReport(left, { ...input, report: peerReport(right) });
    right = recordFreshnessReport(right, {
      ...input,
      report: peerReport(left),
    });
  }
  for (const each of [left, right]) {
    const state = (now: number) =>
      computeFreshnessState(each, { now, staleAfter: STALE_AFTER });
    t.is(state(1_100), FreshnessState.Confirmed);
    t.is(state(1_101), FreshnessState.Stale);
  }
});

test("reports about another version, slow answers and negative ages confirm nothing newer", (t) => {
  const start = recordStoreAnswer(createFreshness(), 0);
  const peerReport = { version: 4, confirmedAge: 0 };
  const other = recordFreshnessReport(start, {
    report: peerReport,
    ownVersion: 3,
    askedAt: 900,
  });
  t.deepEqual(other, start);
  const slow = recordFreshnessReport(start, {
    report: peerReport,
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
