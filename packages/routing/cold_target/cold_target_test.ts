/** Tests of the turns, the times and the VMs that decide about cold targets. */
import test from "ava";
import {
  applyReportedCold,
  ColdReason,
  type ColdTimes,
  computeColdTurns,
  findColdPeriod,
  recordAnswered,
  recordColdEvent,
  recordUnreached,
  TurnGroups,
  TurnTime,
} from "../mod.ts";

// Guards against a rate above what targets tolerate, or above the bound.
test("turns follow from what a target tolerates and from the bound", (t) => {
  const cases = [
    { tolerance: [10, 1.5, 5], interval: 108, lapse: 512 },
    { tolerance: [100, 1.5, 5], interval: 14, lapse: 512 },
    { tolerance: [10, 1, 0], interval: 215, lapse: 505 },
    { tolerance: [1, 1.5, 5], interval: 1_000, lapse: 2_000 },
    { tolerance: [0.2, 1.5, 5], interval: 5_000, lapse: 2_000 },
    { tolerance: [1, 1, 0], interval: 1_500, lapse: 500 },
    { tolerance: [0.5, 1, 0], interval: 2_000, lapse: 1_000 },
  ] as const;
  for (const { tolerance, ...expected } of cases) {
    const [perSecond, overage, slack] = tolerance;
    const turns = computeColdTurns({ perSecond, overage, slack });
    t.deepEqual(turns, expected);
    t.true(1_000 / turns.interval <= perSecond);
    const most = (1_000 + turns.lapse) / turns.interval;
    t.true(most <= Math.max(1, perSecond * overage + slack));
  }
});

function findPeriod(times: ColdTimes, now: number, coldStart = 20_000) {
  const period = findColdPeriod(times, { coldStart, now });
  return period && [period.reason, period.until];
}

test("a target is cold as its entry says, and an entry that only counts down changes nothing", (t) => {
  const read = (times: ColdTimes, remaining: number, now: number) =>
    applyReportedCold(times, { remaining, now });
  const none = {};
  t.is(read(none, 0, 0), none);
  const times = read(none, 10_000, 0);
  t.deepEqual(findPeriod(times, 9_999), [ColdReason.Reported, 10_000]);
  t.is(findPeriod(times, 10_000), undefined);
  t.is(read(times, 8_500, 1_200), times);
  t.is(findPeriod(read(times, 0, 5_000), 5_000), undefined);
  t.is(read(times, 2_000, 5_000).reportedUntil, 7_000);
  t.is(read(times, 9_000, 5_000).reportedUntil, 14_000);
});

test("the event that is cold for longest counts, and no event without such a time", (t) => {
  const start = { reason: ColdReason.Started, from: 1_000 };
  const started = recordColdEvent({}, start);
  t.is(findPeriod(started, 1_000, 0), undefined);
  const reported = applyReportedCold(started, { remaining: 30_000, now: 0 });
  t.deepEqual(findPeriod(reported, 1_000), [ColdReason.Reported, 30_000]);
  const ended = { reason: ColdReason.Evacuated, from: 9_000 };
  const both = recordColdEvent(reported, ended);
  t.deepEqual(findPeriod(both, 8_000, 30_000), [ColdReason.Evacuated, 39_000]);
  t.is(recordColdEvent(both, { ...ended, from: 8_000 }), both);
});

test("a target that can't be reached is cold until some time after it answers", (t) => {
  const fail = (times: ColdTimes, now: number, input = {}) =>
    recordUnreached(times, {
      ...{ isRefused: false, answeredAt: 900, now },
      ...input,
    });
  const once = fail({}, 0);
  t.is(findPeriod(once, 0), undefined);
  t.deepEqual(recordAnswered(once, 500), {});
  t.is(findPeriod(fail(once, 999), 999), undefined);
  const lost = fail(once, 1_000);
  t.deepEqual(findPeriod(lost, 1_000), [ColdReason.Unreachable, Infinity]);
  t.is(findPeriod(lost, 1_000, 0), undefined);
  // A VM that is cut off reaches no target.
  t.is(findPeriod(fail(once, 9_000, { answeredAt: -5 }), 9_000), undefined);
  t.is(findPeriod(fail({}, 0, { isRefused: true }), 0)?.[1], Infinity);
  const back = recordAnswered(lost, 4_000);
  t.deepEqual(findPeriod(back, 4_000), [ColdReason.Returned, 24_000]);
  t.is(recordAnswered(back, 5_000), back);
});

// Guards against turns that belong to two VMs while a change becomes known.
test("a VM has turns 3 s after it was listed, and uses none of a VM that has left before 3 s", (t) => {
  const groups = new TurnGroups("a");
  const peers = [{ vm: "b" }, { vm: "c" }];
  const count = (input: Partial<Parameters<TurnGroups["read"]>[0]>) =>
    groups.read({ peers, listedSince: 0, now: 3_000, ...input })?.others.length;
  t.is(count({ listedSince: undefined }), undefined);
  t.is(count({ now: 2_999 }), undefined);
  t.is(count({}), 2);
  const rest = [{ vm: "b" }];
  t.is(count({ peers: rest, now: 4_000 }), 2);
  t.is(count({ peers: rest, now: 7_000 }), 1);
});

// Guards against clocks that differ by the time that answers wait on a link.
test("the store's time follows the answers that arrived fastest", (t) => {
  const time = new TurnTime();
  t.is(time.read({ time: 5_000, receivedAt: 100 }, 100), 5_000);
  const late = time.read({ time: 5_400, receivedAt: 1_500 }, 1_500);
  t.true(late > 6_399 && late <= 6_400);
  t.is(time.read({ time: 6_450, receivedAt: 1_500 }, 1_500), 6_450);
  const later = time.read({ time: 100, receivedAt: 2_000 }, 2_000);
  t.is(Math.round(later), 6_950);
  const other = new TurnTime();
  other.read({ time: 90_000, receivedAt: 0 }, 0);
  t.is(other.read({ time: 100, receivedAt: 1_000 }, 1_000), 100);
});
