/** Tests of duty leases, fencing, waits and the planning of orders. */
import test from "ava";
import type { Row, RowOperation } from "../../core/mod.ts";
import {
  createReleaseDuty,
  createRenewDuty,
  createTakeDuty,
  type DesiredTargetState,
  DUTY_LEASE,
  DutyWatch,
  formatDutyKey,
  OrderPlanner,
  OrderType,
  parseDutyRow,
  type ReportedTargetState,
  type SeenLease,
} from "../mod.ts";

class Rows {
  readonly #rows = new Map<string, Row>();

  apply<Result>(operation: RowOperation<Result>): Result {
    const decision = operation.decide(this.#rows);
    for (const { key, value } of decision.writes) {
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      this.#rows.set(key, { key, version, value: structuredClone(value!) });
    }
    return decision.result;
  }

  readDuty() {
    return parseDutyRow(this.#rows.get(formatDutyKey("orders")));
  }
}

const A = { vm: "a", incarnation: "1" };
const B = { vm: "b", incarnation: "1" };

function createTake(holder: typeof A, lapsed?: SeenLease) {
  return createTakeDuty({
    duty: "orders",
    holder,
    longestOrder: 60_000,
    wallTime: 0,
    ...(lapsed === undefined ? {} : { lapsed }),
  });
}

function createRenew(holder: typeof A, fence: number, renewals: number) {
  return createRenewDuty({
    duty: "orders",
    holder,
    fence,
    renewals,
    wallTime: 0,
  });
}

test("two VMs that race for a duty: one holds it, and asking again changes nothing", (t) => {
  const rows = new Rows();
  t.like(rows.apply(createTake(A)), { held: true, fence: 1 });
  t.like(rows.apply(createTake(B)), { held: false, fence: 1 });
  t.like(rows.apply(createTake(A)), { held: true, fence: 1 });
  t.is(rows.readDuty()?.fence, 1);
});

test("a lease that was renewed since it was seen is not taken as lapsed", (t) => {
  const rows = new Rows();
  rows.apply(createTake(A));
  const seen = { fence: 1, renewals: 0 };
  rows.apply(createRenew(A, 1, 1));
  rows.apply(createRenew(A, 1, 1));
  t.is(rows.readDuty()?.renewals, 1);
  t.false(rows.apply(createTake(B, seen)).held);
  t.like(rows.apply(createTake(B, { fence: 1, renewals: 1 })), {
    held: true,
    fence: 2,
  });
  t.false(rows.apply(createRenew(A, 1, 2)).held);
});

test("a release frees the duty at once, and a late one of an old holder does not", (t) => {
  const rows = new Rows();
  rows.apply(createTake(A));
  const release = createReleaseDuty({
    duty: "orders",
    holder: A,
    fence: 1,
    wallTime: 0,
  });
  rows.apply(release);
  t.like(rows.apply(createTake(B)), { held: true, fence: 2 });
  rows.apply(release);
  t.like(rows.readDuty(), { vm: "b", released: false });
});

test("a holder that was paused gives no orders before any other VM may take over", (t) => {
  const rows = new Rows();
  const holder = new DutyWatch();
  const waiting = new DutyWatch();
  holder.recordTaken(rows.apply(createTake(A)), { sentAt: 0, now: 50 });
  waiting.recordRow(rows.readDuty(), 40);
  t.is(holder.readFence(1_000), 1);
  for (let now = 0; now < DUTY_LEASE + 1_000; now += 100) {
    const both = holder.readFence(now) !== undefined &&
      waiting.findLapsed(now) !== undefined;
    t.false(both);
  }
  waiting.recordRow({ ...rows.readDuty()!, renewals: 1 }, DUTY_LEASE);
  t.is(waiting.findLapsed(DUTY_LEASE + 40), undefined);
});

test("targets that ignore fencing numbers get no order until the old one's are harmless", (t) => {
  const rows = new Rows();
  rows.apply(createTake(A));
  const next = new DutyWatch();
  const taken = rows.apply(createTake(B, { fence: 1, renewals: 0 }));
  next.recordTaken(taken, { sentAt: 0, now: 100 });
  t.is(next.readFence(100), 2);
  t.false(next.isUnfencedAllowed(100));
  next.recordRenewed(1, 55_000);
  t.false(next.isUnfencedAllowed(60_000));
  t.true(next.isUnfencedAllowed(60_100));
  next.recordRow({ ...rows.readDuty()!, fence: 3 }, 60_200);
  t.is(next.readFence(60_200), undefined);
});

function createWish(target: string, options: Partial<DesiredTargetState> = {}) {
  return {
    target,
    service: "engine",
    models: ["m:2"],
    adapters: [],
    checksFencing: true,
    longestOrder: 60_000,
    ...options,
  };
}

function createFacts(
  options: Partial<ReportedTargetState> = {},
): ReportedTargetState {
  return { models: ["m:1"], adapters: [], leaving: false, ...options };
}

const RIGHT = { fence: 7, unfencedAllowed: false };

test("orders keep to the weight store's rate and to a part of the group", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 0.1, burst: 2 }, 0);
  const wishes = Array.from({ length: 12 }, (_, at) => createWish(`t${at}`));
  const facts = new Map(wishes.map((wish) => [wish.target, createFacts()]));
  const first = planner.planOrders(wishes, { facts, right: RIGHT, now: 0 });
  t.is(first.length, 2);
  t.like(first[0], { type: OrderType.LoadModel, name: "m:2", fence: 7 });
  const at = (now: number) =>
    planner.planOrders(wishes, { facts, right: RIGHT, now }).length;
  t.is(at(9_000), 0);
  t.is(at(11_000), 1);
  t.is(at(50_000), 0);
});

test("the old version is dropped only after the new one is loaded", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const wishes = [createWish("t0")];
  const facts = new Map([["t0", createFacts({ models: ["m:1", "m:2"] })]]);
  const [order] = planner.planOrders(wishes, { facts, right: RIGHT, now: 0 });
  t.like(order, { type: OrderType.UnloadModel, name: "m:1" });
});

test("no order goes to a leaving target or, too early, to one that ignores fencing", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const wishes = [createWish("t0"), createWish("t1", { checksFencing: false })];
  const facts = new Map([
    ["t0", createFacts({ leaving: true })],
    ["t1", createFacts()],
  ]);
  const early = planner.planOrders(wishes, { facts, right: RIGHT, now: 0 });
  t.deepEqual(early, []);
  const right = { fence: 7, unfencedAllowed: true };
  const orders = planner.planOrders(wishes, { facts, right, now: 0 });
  t.deepEqual(orders.map((order) => order.target), ["t1"]);
});

test("a change that an old holder undid is ordered again", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const wishes = [createWish("t0")];
  const stale = new Map([["t0", createFacts()]]);
  const done = new Map([["t0", createFacts({ models: ["m:2"] })]]);
  const options = { right: RIGHT, now: 0 };
  t.is(planner.planOrders(wishes, { ...options, facts: stale }).length, 1);
  t.is(planner.planOrders(wishes, { ...options, facts: stale }).length, 0);
  t.is(planner.planOrders(wishes, { ...options, facts: done }).length, 0);
  t.is(planner.planOrders(wishes, { ...options, facts: stale }).length, 1);
});
