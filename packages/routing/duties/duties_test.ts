/** Tests of duty leases, fencing, waiting times and the planning of orders. */
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

class FakeStore {
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

test("when two VMs race for a duty, one gets it, and taking it again changes nothing", (t) => {
  const store = new FakeStore();
  t.like(store.apply(createTake(A)), { held: true, fence: 1 });
  t.like(store.apply(createTake(B)), { held: false, fence: 1 });
  t.like(store.apply(createTake(A)), { held: true, fence: 1 });
  t.is(store.readDuty()?.fence, 1);
});

test("a lease that was renewed after it was observed cannot be taken as lapsed", (t) => {
  const store = new FakeStore();
  store.apply(createTake(A));
  const seen = { fence: 1, renewals: 0 };
  store.apply(createRenew(A, 1, 1));
  store.apply(createRenew(A, 1, 1));
  t.is(store.readDuty()?.renewals, 1);
  t.false(store.apply(createTake(B, seen)).held);
  t.like(store.apply(createTake(B, { fence: 1, renewals: 1 })), {
    held: true,
    fence: 2,
  });
  t.false(store.apply(createRenew(A, 1, 2)).held);
});

test("a release frees the duty at once, and a late release by a previous holder changes nothing", (t) => {
  const store = new FakeStore();
  store.apply(createTake(A));
  const release = createReleaseDuty({
    duty: "orders",
    holder: A,
    fence: 1,
    wallTime: 0,
  });
  store.apply(release);
  t.like(store.apply(createTake(B)), { held: true, fence: 2 });
  store.apply(release);
  t.like(store.readDuty(), { vm: "b", released: false });
});

test("a holder that was paused stops giving orders before another VM may take the duty", (t) => {
  const store = new FakeStore();
  const holder = new DutyWatch();
  const waiting = new DutyWatch();
  holder.recordTaken(store.apply(createTake(A)), { sentAt: 0, now: 50 });
  waiting.recordRow(store.readDuty(), 40);
  t.is(holder.readFence(1_000), 1);
  for (let now = 0; now < DUTY_LEASE + 1_000; now += 100) {
    const both = holder.readFence(now) !== undefined &&
      waiting.findLapsed(now) !== undefined;
    t.false(both);
  }
  waiting.recordRow({ ...store.readDuty()!, renewals: 1 }, DUTY_LEASE);
  t.is(waiting.findLapsed(DUTY_LEASE + 40), undefined);
});

test("targets that ignore fencing numbers get no orders until those of the previous holder have taken effect", (t) => {
  const store = new FakeStore();
  store.apply(createTake(A));
  const next = new DutyWatch();
  const taken = store.apply(createTake(B, { fence: 1, renewals: 0 }));
  next.recordTaken(taken, { sentAt: 0, now: 100 });
  t.is(next.readFence(100), 2);
  t.false(next.isUnfencedAllowed(100));
  next.recordRenewed(1, 55_000);
  t.false(next.isUnfencedAllowed(60_000));
  t.true(next.isUnfencedAllowed(60_100));
  next.recordRow({ ...store.readDuty()!, fence: 3 }, 60_200);
  t.is(next.readFence(60_200), undefined);
});

function createDesiredState(
  target: string,
  options: Partial<DesiredTargetState> = {},
) {
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

function createReportedState(
  options: Partial<ReportedTargetState> = {},
): ReportedTargetState {
  return { models: ["m:1"], adapters: [], leaving: false, ...options };
}

const PERMISSION = { fence: 7, unfencedAllowed: false };

test("orders stay within the rate of the weight store and a share of the service's targets", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 0.1, burst: 2 }, 0);
  const desiredStates = Array.from(
    { length: 12 },
    (_, at) => createDesiredState(`t${at}`),
  );
  const facts = new Map(
    desiredStates.map((desired) => [desired.target, createReportedState()]),
  );
  const first = planner.planOrders(desiredStates, {
    facts,
    right: PERMISSION,
    now: 0,
  });
  t.is(first.length, 2);
  t.like(first[0], { type: OrderType.LoadModel, name: "m:2", fence: 7 });
  const at = (now: number) =>
    planner.planOrders(desiredStates, { facts, right: PERMISSION, now }).length;
  t.is(at(9_000), 0);
  t.is(at(11_000), 1);
  t.is(at(50_000), 0);
});

test("the old version is unloaded only after the new one is loaded", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const desiredStates = [createDesiredState("t0")];
  const facts = new Map([[
    "t0",
    createReportedState({ models: ["m:1", "m:2"] }),
  ]]);
  const [order] = planner.planOrders(desiredStates, {
    facts,
    right: PERMISSION,
    now: 0,
  });
  t.like(order, { type: OrderType.UnloadModel, name: "m:1" });
});

test("no order is given to a leaving target, or to one that ignores fencing before that is allowed", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const desiredStates = [
    createDesiredState("t0"),
    createDesiredState("t1", { checksFencing: false }),
  ];
  const facts = new Map([
    ["t0", createReportedState({ leaving: true })],
    ["t1", createReportedState()],
  ]);
  const early = planner.planOrders(desiredStates, {
    facts,
    right: PERMISSION,
    now: 0,
  });
  t.deepEqual(early, []);
  const right = { fence: 7, unfencedAllowed: true };
  const orders = planner.planOrders(desiredStates, { facts, right, now: 0 });
  t.deepEqual(orders.map((order) => order.target), ["t1"]);
});

test("a change that a previous holder undid is ordered again", (t) => {
  const planner = new OrderPlanner({ loadsPerSecond: 10, burst: 10 }, 0);
  const desiredStates = [createDesiredState("t0")];
  const stale = new Map([["t0", createReportedState()]]);
  const done = new Map([["t0", createReportedState({ models: ["m:2"] })]]);
  const options = { right: PERMISSION, now: 0 };
  t.is(
    planner.planOrders(desiredStates, { ...options, facts: stale }).length,
    1,
  );
  t.is(
    planner.planOrders(desiredStates, { ...options, facts: stale }).length,
    0,
  );
  t.is(
    planner.planOrders(desiredStates, { ...options, facts: done }).length,
    0,
  );
  t.is(
    planner.planOrders(desiredStates, { ...options, facts: stale }).length,
    1,
  );
});
