/** Tests of how many active and standby tokens a VM holds. */
import test from "ava";
import {
  computeAccountRoom,
  computeHoldingTargets,
  createEventAccount,
  type EventAccount,
  type HoldingInput,
  planHolding,
  receiveGrant,
  SpendingMeter,
} from "../mod.ts";

const INPUT: HoldingInput = {
  now: 0,
  need: 0,
  budgetLeft: 1_000_000,
  holders: 6,
  rate: 10_000,
  hasTraffic: true,
  othersRate: 50_000,
  outageCoverage: 12_000,
  activeCoverage: 4_500,
  usualRequest: 1_000,
  standby: [],
  isHolder: true,
};

function createAccount(room: number): EventAccount {
  const account = createEventAccount("c");
  if (room === 0) return account;
  return receiveGrant(account, { grantId: "g", size: room, deadline: 1e9 });
}

test("a holding lasts for the given time while the store is unavailable", (t) => {
  const { active, standby } = computeHoldingTargets(createAccount(0), INPUT);
  t.true(active + standby >= INPUT.rate! * INPUT.outageCoverage / 1_000);
  t.true(active >= INPUT.rate! * INPUT.activeCoverage / 1_000);
  t.true(active < INPUT.rate! * 6);
});

test("near the end of a budget a VM's holding follows its share of the spending rate", (t) => {
  const scarce = { ...INPUT, budgetLeft: 60_000 };
  const small = computeHoldingTargets(createAccount(0), scarce);
  const large = computeHoldingTargets(createAccount(0), {
    ...scarce,
    rate: 50_000,
    othersRate: 10_000,
  });
  t.true(small.active + small.standby <= 60_000 / 3);
  t.true(large.active + large.standby >= 60_000 / 2);
  t.true(large.active + large.standby < 60_000);
});

test("a VM's standby tokens cover a few requests of a customer whose traffic goes to other VMs", (t) => {
  const { rate: _, ...idle } = INPUT;
  const targets = computeHoldingTargets(createAccount(0), idle);
  t.true(targets.active <= 2 * INPUT.usualRequest);
  t.true(targets.standby <= 4 * INPUT.usualRequest);
  t.true(targets.standby >= INPUT.usualRequest);
});

test("before any traffic the VMs together hold at most half of a budget", (t) => {
  const { rate: _, ...idle } = INPUT;
  const first = { ...idle, isTrafficOn: false, usualRequest: 0 };
  let left = 1_000_000;
  for (let vm = 0; vm < 6; vm++) {
    left -= computeHoldingTargets(createAccount(0), {
      ...first,
      budgetLeft: left,
    }).active;
  }
  t.true(left >= 500_000);
});

test("when the budget has nothing left, a take needs no more than the request's shortfall", (t) => {
  const plan = planHolding(createAccount(100), {
    ...INPUT,
    budgetLeft: 0,
    need: 700,
  });
  t.is(plan.take?.least, 600);
});

test("standby grants are returned when a request needs more than the budget has left", (t) => {
  const standby = [{ grantId: "s", size: 5_000 }];
  const plan = planHolding(createAccount(0), {
    ...INPUT,
    budgetLeft: 10,
    need: 700,
    standby,
  });
  t.deepEqual(plan.standby?.drops, ["s"]);
  t.is(plan.take?.least, 700);
});

test("a single standby grant that is far too large is replaced", (t) => {
  const standby = [{ grantId: "s", size: 400_000 }];
  const plan = planHolding(createAccount(60_000), { ...INPUT, standby });
  t.deepEqual(plan.standby?.drops, ["s"]);
  const { standby: target } = computeHoldingTargets(createAccount(60_000), {
    ...INPUT,
    standby,
  });
  t.is(plan.standby?.take, target);
});

test("a larger standby target keeps the standby grants that are held", (t) => {
  const standby = [{ grantId: "s", size: 20_000 }];
  const plan = planHolding(createAccount(55_000), { ...INPUT, standby });
  t.deepEqual(plan.standby?.drops, []);
  t.true(plan.standby!.take > 0);
});

test("tokens above the active target are returned", (t) => {
  const account = createAccount(300_000);
  const plan = planHolding(account, INPUT);
  const returned = plan.grantReturns.reduce(
    (sum, each) => sum + each.tokens,
    0,
  );
  const { active } = computeHoldingTargets(account, INPUT);
  t.is(computeAccountRoom(account, 0) - returned, active);
});

test("a spending rate is accurate in its first seconds and follows a change", (t) => {
  const meter = new SpendingMeter(0);
  for (let at = 0; at < 3_000; at += 100) meter.record(100, at);
  t.true(Math.abs(meter.computeRate(3_000) - 1_000) < 150);
  for (let at = 3_000; at < 20_000; at += 100) meter.record(300, at);
  t.true(Math.abs(meter.computeRate(20_000) - 3_000) < 300);
  t.true(meter.computeRate(60_000) < 10);
});

test("a VM that is not a home VM keeps tokens for about one request and takes only what is missing", (t) => {
  const input = { ...INPUT, isHolder: false };
  const idle = planHolding(createAccount(0), input);
  t.is(idle.take, undefined);
  t.is(idle.standby, undefined);
  const short = planHolding(createAccount(200), { ...input, need: 900 });
  t.like(short.take, { least: 700 });
  const nearTarget = planHolding(createAccount(1_200), input);
  t.deepEqual(nearTarget.grantReturns, []);
  const withExcess = planHolding(createAccount(5_000), {
    ...input,
    usualRequest: 1_000.5,
  });
  t.is(withExcess.grantReturns[0]?.tokens, 4_000);
});
