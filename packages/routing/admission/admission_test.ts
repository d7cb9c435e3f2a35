/** Tests of customer limits, fair queueing, priorities and early refusals. */
import test from "ava";
import {
  type CustomerConfig,
  Priority,
  RefusalKind,
  RequestOutcome,
} from "../../core/mod.ts";
import { Admission, DemandTable, type Ticket } from "../mod.ts";
import { createRandom } from "../test_fleet.ts";

const random = createRandom();
let lastId = 0;

function createTicket(options: Partial<Ticket> = {}): Ticket {
  return {
    id: `r${++lastId}`,
    customer: "a",
    service: "engine",
    kind: "chat",
    priority: Priority.Standard,
    weight: 1,
    tokens: 10,
    deadline: 1_000_000,
    arrivedAt: 0,
    ...options,
  };
}

function createCustomer(
  limits: Partial<CustomerConfig["limits"]> = {},
): CustomerConfig {
  return {
    id: "a",
    keyHashes: [],
    weight: 1,
    limits: {
      requestsPerSecond: 100,
      tokensPerSecond: 10_000,
      concurrentRequests: 100,
      ...limits,
    },
  };
}

function createLimitedAdmission(
  limits: Partial<CustomerConfig["limits"]>,
  share = 1,
): Admission {
  const admission = new Admission();
  const options = { now: 0, computeShare: () => share };
  admission.changeCustomers([createCustomer(limits)], options);
  return admission;
}

function admitMany(admission: Admission, tickets: readonly Ticket[], now = 0) {
  return tickets.map((ticket) => admission.admit(ticket, { now, random }));
}

function createMany(count: number, options: Partial<Ticket> = {}): Ticket[] {
  return Array.from({ length: count }, () => createTicket(options));
}

/** Starts at most `count` queued tickets. */
function startSome(admission: Admission, count: number, now = 0): Ticket[] {
  let left = count;
  return admission.takeReady("engine", { now, tryStart: () => left-- > 0 });
}

/**
 * Runs tickets one after the other with the same service time, and returns the
 * end.
 */
function runSequentially(
  admission: Admission,
  count: number,
  options: { readonly from: number; readonly serviceTime: number },
): number {
  let now = options.from;
  for (let index = 0; index < count; index++) {
    const [ticket] = startSome(admission, 1, now);
    now += options.serviceTime;
    if (ticket === undefined) continue;
    admission.finish(ticket.id, { now, tokens: 10, complete: true });
  }
  return now;
}

test("requests above the rate limit are refused as not run, with a retry delay", (t) => {
  const admission = createLimitedAdmission({ requestsPerSecond: 5 });
  const results = admitMany(admission, createMany(8));
  t.is(results.filter((each) => each.isRight()).length, 5);
  results[7]?.ifLeft((refusal) => {
    t.is(refusal.kind, RefusalKind.RateLimited);
    t.is(refusal.outcome, RequestOutcome.NotRun);
    t.is(refusal.retryAfter, 200);
  });
  const later = admission.admit(createTicket(), { now: 200, random });
  t.true(later.isRight());
});

test("tokens used beyond the estimate delay the customer's next request", (t) => {
  const admission = createLimitedAdmission({ tokensPerSecond: 100 });
  const ticket = createTicket({ tokens: 50 });
  admitMany(admission, [ticket]);
  startSome(admission, 1);
  admission.finish(ticket.id, { now: 0, tokens: 300 });
  const [early] = admitMany(admission, [createTicket()], 1_900);
  const [late] = admitMany(admission, [createTicket()], 2_100);
  t.true(early?.isLeft());
  t.true(late?.isRight());
});

test("concurrent requests are limited, and a cancelled one no longer counts", (t) => {
  const admission = createLimitedAdmission({ concurrentRequests: 10 }, 0.25);
  const tickets = createMany(4);
  const results = admitMany(admission, tickets);
  t.deepEqual(results.map((each) => each.isRight()), [true, true, true, false]);
  admission.finish(tickets[1]!.id, { now: 0, tokens: 0 });
  t.true(admitMany(admission, [createTicket()])[0]?.isRight());
  t.is(admission.listLoads()[0]?.queued, 3);
});

test("the shares of all VMs follow announced demand and add up to one", (t) => {
  const tables = [new DemandTable(), new DemandTable()];
  for (let at = 0; at < 3_000; at += 10) tables[0]!.recordRequest("a", at);
  for (let at = 0; at < 3_000; at += 30) tables[1]!.recordRequest("a", at);
  t.is(tables[0]!.computeShare("a", 2), 0.5);
  const announcements = tables.map((table) => table.recordAnnouncement(3_000));
  tables[0]!.applyAnnouncement("vm-2", announcements[1]!);
  tables[1]!.applyAnnouncement("vm-1", announcements[0]!);
  const shares = tables.map((table) => table.computeShare("a", 2));
  t.true(Math.abs(shares[0]! + shares[1]! - 1) < 1e-9);
  t.true(shares[0]! > 0.6 && shares[1]! >= 0.25, String(shares));
});

test("a VM without announcements from peers gets at most half of a limit plus its even share of the other half", (t) => {
  const table = new DemandTable();
  table.recordRequest("a", 0);
  t.is(table.computeShare("a", 8), 1 / 8);
  table.recordAnnouncement(0);
  t.is(table.computeShare("a", 8), 0.5 / 8 + 0.5);
});

test("safety requests start before bulk ones, which still get one start in sixteen", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(40, { priority: Priority.Bulk }));
  admitMany(admission, createMany(40, { priority: Priority.Safety }));
  const started = startSome(admission, 32);
  const bulk = started.filter((each) => each.priority === Priority.Bulk);
  t.is(bulk.length, 2);
  t.is(started[0]?.priority, Priority.Safety);
});

test("a lowest-priority ticket that cannot start does not block the highest priority", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(1, { priority: Priority.Bulk }));
  admitMany(admission, createMany(40, { priority: Priority.Safety }));
  const started = admission.takeReady("engine", {
    now: 0,
    tryStart: (ticket) => ticket.priority === Priority.Safety,
  });
  t.is(started.length, 40);
});

test("starts are divided among backlogged customers by weight, not by queue length", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(300, { customer: "large" }));
  admitMany(admission, createMany(60, { customer: "small" }));
  admitMany(admission, createMany(100, { customer: "paying", weight: 2 }));
  const counts = new Map<string, number>();
  for (const { customer } of startSome(admission, 80)) {
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  t.deepEqual([...counts.values()], [20, 20, 40]);
});

test("an idle customer does not accumulate a claim to later starts", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(100, { customer: "a" }));
  startSome(admission, 50);
  admitMany(admission, createMany(50, { customer: "b" }));
  const started = startSome(admission, 20);
  t.is(started.filter((each) => each.customer === "b").length, 10);
});

test("once the drain rate is known, a request that cannot meet its deadline is refused at once", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(100));
  const now = runSequentially(admission, 20, { from: 0, serviceTime: 100 });
  const tight = createTicket({ arrivedAt: now, deadline: now + 2_000 });
  const wide = createTicket({ arrivedAt: now, deadline: now + 20_000 });
  admission.admit(tight, { now, random })
    .ifLeft((refusal) => {
      t.is(refusal.kind, RefusalKind.DeadlineTooSoon);
      t.is(refusal.outcome, RequestOutcome.NotRun);
      t.true((refusal.retryAfter ?? 0) >= 2_000);
    })
    .ifRight(() => t.fail());
  t.true(admission.admit(wide, { now, random }).isRight());
  const urgent = { ...tight, id: "urgent", priority: Priority.Safety };
  t.true(admission.admit(urgent, { now, random }).isRight());
});

test("time with an empty queue does not lower the drain rate, so a later burst is admitted", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(30));
  const now = runSequentially(admission, 30, { from: 0, serviceTime: 100 }) +
    3_600_000;
  const results = admitMany(
    admission,
    createMany(30, { deadline: now + 10_000 }),
    now,
  );
  t.true(results.every((each) => each.isRight()));
});

test("slower targets lower the drain rate and lengthen the estimated wait", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(100));
  let now = runSequentially(admission, 20, { from: 0, serviceTime: 100 });
  const before = admission.computeWait(createTicket());
  now = runSequentially(admission, 5, { from: now, serviceTime: 2_000 });
  const after = admission.computeWait(createTicket());
  t.true(after > 3 * before, `${before} then ${after}`);
});

test("after service times longer than every deadline, requests are still admitted to an empty queue", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(30));
  const now = runSequentially(admission, 30, { from: 0, serviceTime: 60_000 });
  const short = createTicket({ arrivedAt: now, deadline: now + 10_000 });
  t.true(admission.admit(short, { now, random }).isRight());
});

test("a queued request is refused once it can no longer meet its deadline", (t) => {
  const admission = new Admission();
  admitMany(admission, createMany(3, { deadline: 500 }));
  admitMany(admission, createMany(1, { deadline: 5_000 }));
  t.is(admission.expire({ now: 400, random }).length, 0);
  const refused = admission.expire({ now: 501, random });
  t.is(refused.length, 3);
  t.is(refused[0]?.refusal.outcome, RequestOutcome.NotRun);
  t.is(startSome(admission, 10, 501).length, 1);
});

test("a full queue displaces the newest ticket of the largest backlog in the lowest priority", (t) => {
  const admission = new Admission({ maxQueued: 4 });
  const bulk = createMany(3, { priority: Priority.Bulk, customer: "large" });
  admitMany(admission, bulk);
  admitMany(admission, createMany(1, { priority: Priority.Bulk }));
  t.true(admitMany(admission, createMany(1))[0]?.isRight());
  const [result] = admitMany(
    admission,
    createMany(1, { priority: Priority.Safety }),
  );
  const displaced = result?.map((each) => each.displaced).orDefault([]);
  t.is(displaced?.[0]?.ticket.id, bulk[1]?.id);
  t.is(displaced?.[0]?.refusal.kind, RefusalKind.Overloaded);
  const [refused] = admitMany(
    admission,
    createMany(1, { priority: Priority.Bulk }),
  );
  t.true(refused?.isLeft());
});
