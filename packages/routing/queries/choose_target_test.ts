/**
 * Tests of the choice of target with stale reports, failed and leaving targets.
 */
import test from "ava";
import { Priority, RefusalKind } from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import {
  applyCacheEvents,
  applyLeavingNotices,
  applyListedTargets,
  applyReport,
  applyTargets,
  CacheChange,
  chooseTarget,
  computeHealth,
  createRoutingState,
  listLeavingNotices,
  recordAttemptEnd,
  recordAttemptStart,
  recordPrefillEnd,
  recordProbe,
  type RoutedRequest,
  type RoutingState,
  TargetHealth,
} from "../mod.ts";
import {
  createFleet,
  createRandom,
  createRequest,
  createTarget,
} from "../test_fleet.ts";

const TWELVE = Array.from(
  { length: 12 },
  (_, index) => createTarget(`t${index}`),
);

function createState(targets = TWELVE): RoutingState {
  const configuration = createFleet(targets, [{
    from: "addis",
    to: "dire",
    bytesPerSecond: 2_500_000,
    oneWay: 30,
  }]);
  const state = createRoutingState({ region: "addis" });
  return applyTargets(state, { configuration, now: 0, vms: 8 });
}

function createReport(running: number, options: { leaving?: boolean } = {}) {
  return { running, queued: 0, leaving: false, models: [], ...options };
}

/**
 * Chooses targets for many attempts, starts these, and counts them by target.
 */
function dispatchMany(
  state: RoutingState,
  count: number,
  options: { now: number; request?: Partial<RoutedRequest>; seed?: number },
): Map<string, number> {
  const random = createRandom(options.seed);
  const counts = new Map<string, number>();
  const request = createRequest(options.request);
  for (let index = 0; index < count; index++) {
    chooseTarget(state, { request, now: options.now, random }).ifRight((to) => {
      recordAttemptStart(state, to.id, { now: options.now });
      counts.set(to.id, (counts.get(to.id) ?? 0) + 1);
    });
  }
  return counts;
}

function recordFailures(
  state: RoutingState,
  target: string,
  now: number,
  times = 3,
) {
  for (let index = 0; index < times; index++) {
    recordAttemptStart(state, target);
    recordAttemptEnd(state, target, { now, end: AttemptEnd.Broken });
  }
}

test("VMs that share one stale report do not all choose the target that it shows as idle", (t) => {
  const totals = new Map<string, number>();
  for (let vm = 1; vm <= 8; vm++) {
    const state = createState();
    for (const { id } of TWELVE) {
      applyReport(state, id, {
        report: createReport(id === "t0" ? 0 : 9),
        now: 0,
      });
    }
    for (
      const [id, count] of dispatchMany(state, 24, {
        now: 5_000,
        seed: vm * 97,
      })
    ) {
      totals.set(id, (totals.get(id) ?? 0) + count);
    }
  }
  const mean = 8 * 24 / 12;
  t.true((totals.get("t0") ?? 0) < 3 * mean, `${totals.get("t0")} at t0`);
});

test("a fresh report of a busy target keeps attempts away from it", (t) => {
  const state = createState();
  for (const { id } of TWELVE) {
    applyReport(state, id, {
      report: createReport(id === "t0" ? 30 : 0),
      now: 0,
    });
  }
  t.is(dispatchMany(state, 60, { now: 10 }).get("t0"), undefined);
});

test("own attempts in a report are not counted as attempts of other VMs", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  for (let index = 0; index < 5; index++) recordAttemptStart(state, "t0");
  applyReport(state, "t0", { report: createReport(5), now: 0 });
  applyReport(state, "t1", { report: createReport(5), now: 0 });
  const counts = dispatchMany(state, 4, { now: 0 });
  t.deepEqual([counts.get("t0"), counts.get("t1")], [2, 2]);
});

test("a leaving notice from any source stops new attempts", (t) => {
  const byList = createState();
  applyListedTargets(byList, new Set(["t0"]));
  const byReport = createState();
  applyReport(byReport, "t0", {
    report: createReport(0, { leaving: true }),
    now: 5,
  });
  const byPeer = createState();
  const notices = listLeavingNotices(byReport, 400);
  applyLeavingNotices(byPeer, { notices, now: 90_000 });
  for (const state of [byList, byReport, byPeer]) {
    t.is(dispatchMany(state, 100, { now: 90_000 }).get("t0"), undefined);
  }
});

test("an older notice or an outdated VM list does not revoke a leaving notice", (t) => {
  const state = createState();
  applyReport(state, "t0", {
    report: createReport(0, { leaving: true }),
    now: 5_000,
  });
  applyListedTargets(state, new Set());
  const old = [{ target: "t0", leaving: false, age: 3_000 }];
  applyLeavingNotices(state, { notices: old, now: 6_000 });
  t.is(computeHealth(state.targets.get("t0")!, 6_000), TargetHealth.Leaving);
  applyReport(state, "t0", { report: createReport(0), now: 9_000 });
  t.is(computeHealth(state.targets.get("t0")!, 9_000), TargetHealth.Healthy);
});

test("unreachable targets get no attempts, however many there are, and return by slow start", (t) => {
  const state = createState();
  for (const { id } of TWELVE.slice(0, 11)) {
    recordProbe(state, id, { answered: false, now: 0 });
  }
  t.deepEqual([...dispatchMany(state, 20, { now: 1 })], [["t11", 20]]);
  applyReport(state, "t0", { report: createReport(0), now: 5_000 });
  const counts = dispatchMany(endAllAttempts(state), 22, { now: 5_000 });
  t.true((counts.get("t0") ?? 0) <= 4, `${counts.get("t0")} at t0`);
  t.true((counts.get("t0") ?? 0) > 0);
});

test("an unreachable target gets one attempt ten seconds after its last failure to answer", (t) => {
  const state = createState();
  recordProbe(state, "t0", { answered: false, now: 0 });
  t.is(dispatchMany(state, 50, { now: 9_000 }).get("t0"), undefined);
  t.is(dispatchMany(state, 200, { now: 10_000 }).get("t0"), 1);
  const end = AttemptEnd.NotSent;
  recordAttemptEnd(state, "t0", { now: 10_100, end });
  t.is(dispatchMany(state, 50, { now: 19_000 }).get("t0"), undefined);
  t.is(dispatchMany(state, 200, { now: 20_200 }).get("t0"), 1);
  const complete = AttemptEnd.Complete;
  recordAttemptEnd(state, "t0", { now: 20_300, end: complete });
  t.is(computeHealth(state.targets.get("t0")!, 20_300), TargetHealth.Healthy);
});

test("failures eject a target, and one successful attempt afterwards returns it by slow start", (t) => {
  const state = createState();
  recordFailures(state, "t0", 0);
  t.is(dispatchMany(state, 50, { now: 4_000 }).get("t0"), undefined);
  t.is(dispatchMany(state, 200, { now: 6_000 }).get("t0"), 1);
  recordAttemptEnd(state, "t0", { now: 6_500, end: AttemptEnd.Complete });
  t.is(computeHealth(state.targets.get("t0")!, 6_500), TargetHealth.Healthy);
  const counts = dispatchMany(endAllAttempts(state), 60, { now: 6_600 });
  t.true((counts.get("t0") ?? 0) <= 2, `${counts.get("t0")} at t0`);
});

/** Ends every open attempt. */
function endAllAttempts(state: RoutingState): RoutingState {
  for (const target of state.targets.values()) {
    for (let open = target.inFlight; open > 0; open--) {
      recordAttemptEnd(state, target.config.id);
    }
  }
  return state;
}

test("a failure in probation ejects a target for longer", (t) => {
  const state = createState();
  recordFailures(state, "t0", 0);
  recordFailures(state, "t0", 6_000, 1);
  const target = state.targets.get("t0")!;
  t.is(computeHealth(target, 15_000), TargetHealth.Ejected);
  t.is(computeHealth(target, 16_001), TargetHealth.Probation);
});

test("at most a third of a service's targets is ejected", (t) => {
  const state = createState();
  for (const { id } of TWELVE) recordFailures(state, id, 0);
  const ejected = [...state.targets.values()]
    .filter((each) => computeHealth(each, 1) === TargetHealth.Ejected);
  t.is(ejected.length, 4);
});

test("dead paths and cancelled attempts do not count as failures of the target", (t) => {
  const state = createState();
  for (let index = 0; index < 9; index++) {
    const end = AttemptEnd.Broken;
    recordAttemptEnd(state, "t0", { now: 0, end, pathDead: true });
    recordAttemptEnd(state, "t0", { now: 0, end: AttemptEnd.Cancelled });
  }
  t.is(computeHealth(state.targets.get("t0")!, 1), TargetHealth.Healthy);
});

test("a holder of the prefix is preferred until it is much busier than others", (t) => {
  const large = TWELVE.map(({ id }) => createTarget(id, { capacity: 40 }));
  const state = createState(large);
  recordAttemptStart(state, "t3", { now: 0, prefixes: ["p"] });
  const request = { prefixes: ["p"] };
  t.is(dispatchMany(state, 5, { now: 0, request }).get("t3"), 5);
  const counts = dispatchMany(state, 54, { now: 0, request });
  t.true((counts.get("t3") ?? 0) < 10, `${counts.get("t3")} at t3`);
});

test("an unread prompt diverts other attempts until its prefill or its attempt ends", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  const promptTokens = 12_000;
  recordAttemptStart(state, "t0", { now: 0, promptTokens });
  for (let open = 0; open < 5; open++) recordAttemptStart(state, "t1");
  const request = createRequest();
  const choose = () =>
    chooseTarget(state, { request, now: 0, random: createRandom() })
      .unsafeCoerce().id;
  t.is(choose(), "t1");
  recordPrefillEnd(state, "t0", promptTokens);
  t.is(choose(), "t0");
  recordAttemptStart(state, "t0", { now: 0, promptTokens });
  t.is(choose(), "t1");
  recordAttemptEnd(state, "t0", {
    now: 0,
    end: AttemptEnd.Broken,
    unreadTokens: promptTokens,
  });
  t.is(choose(), "t0");
});

test("a holder may cost more by the prefill that its prefix saves, and no more", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  recordAttemptStart(state, "t0", {
    now: 0,
    prefixes: ["p"],
    promptTokens: 4_000,
  });
  const choose = (prefixTokens: number) => {
    const request = createRequest({ prefixes: ["p"], prefixTokens });
    return chooseTarget(state, { request, now: 0, random: createRandom() })
      .unsafeCoerce().id;
  };
  t.is(choose(6_000), "t0");
  t.is(choose(1_000), "t1");
});

test("a nearly full holder is not preferred to a less busy target", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  for (let open = 0; open < 7; open++) recordAttemptStart(state, "t0");
  for (let open = 0; open < 6; open++) recordAttemptStart(state, "t1");
  recordAttemptStart(state, "t0", { now: 0, prefixes: ["p"] });
  recordAttemptEnd(state, "t0");
  const request = createRequest({ prefixes: ["p"] });
  const chosen = chooseTarget(state, { request, now: 0, random: () => 0.7 });
  t.is(chosen.unsafeCoerce().id, "t1");
});

test("a report of a sudden peak makes a target full before the smoothed load rises", (t) => {
  const state = createState([createTarget("t0")]);
  for (const now of [0, 500, 1_000]) {
    applyReport(state, "t0", { report: createReport(0), now });
  }
  applyReport(state, "t0", { report: createReport(10), now: 1_500 });
  const input = { request: createRequest(), now: 1_500, random: () => 0 };
  t.true(chooseTarget(state, { ...input, mostLoad: 1 }).isLeft());
  t.true(chooseTarget(state, input).isRight());
});

test("a gap in cache events invalidates prefixes recorded before it", (t) => {
  const state = createState();
  const stored = { change: CacheChange.Stored, prefix: "p" };
  applyCacheEvents(state, "t3", [{ ...stored, sequence: 1 }]);
  const input = {
    request: createRequest({ prefixes: ["p"] }),
    now: 0,
    random: () => 0,
  };
  t.is(chooseTarget(state, input).unsafeCoerce().id, "t3");
  applyCacheEvents(state, "t3", [{ ...stored, prefix: "q", sequence: 4 }]);
  t.not(chooseTarget(state, input).unsafeCoerce().id, "t3");
  applyCacheEvents(state, "t3", [{ ...stored, sequence: 2 }]);
  t.not(chooseTarget(state, input).unsafeCoerce().id, "t3");
});

test("another region is used only when this VM's region is full and the link has spare capacity", (t) => {
  const targets = [
    createTarget("near"),
    createTarget("far", { region: "dire", dataCentre: "dire-1" }),
  ];
  const state = createState(targets);
  t.is(dispatchMany(state, 9, { now: 0 }).get("far"), undefined);
  t.true((dispatchMany(state, 20, { now: 0 }).get("far") ?? 0) > 0);
  const bytes = 2_500_000;
  recordAttemptStart(state, "far", { now: 0, expectedBytes: bytes });
  t.is(dispatchMany(state, 20, { now: 0 }).get("far"), undefined);
});

test("bulk requests leave part of a link to higher priorities", (t) => {
  const far = createTarget("far", { region: "dire", dataCentre: "dire-1" });
  const state = createState([far]);
  recordAttemptStart(state, "far", { now: 0, expectedBytes: 300_000 });
  const bulk = createRequest({ priority: Priority.Bulk });
  const chat = createRequest({ priority: Priority.Interactive });
  const options = { now: 0, random: createRandom() };
  t.true(chooseTarget(state, { request: bulk, ...options }).isLeft());
  t.true(chooseTarget(state, { request: chat, ...options }).isRight());
});

test("a target without the required model is excluded", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  const models = ["m:2", "adapter"];
  applyReport(state, "t0", {
    report: { ...createReport(0), models: ["m:1"] },
    now: 0,
  });
  applyReport(state, "t1", { report: { ...createReport(9), models }, now: 0 });
  const request = { models: ["m:2"] };
  t.is(dispatchMany(state, 5, { now: 0, request }).get("t1"), 5);
});

test("a retry uses an untried target, and is refused when all were tried or are full", (t) => {
  const state = createState([createTarget("t0"), createTarget("t1")]);
  const options = { now: 0, random: createRandom() };
  const second = createRequest({ tried: ["t0"] });
  const to = chooseTarget(state, { request: second, ...options });
  t.is(to.unsafeCoerce().id, "t1");
  const third = createRequest({ tried: ["t0", "t1"] });
  chooseTarget(state, { request: third, ...options })
    .ifLeft((refusal) => t.is(refusal.kind, RefusalKind.NoTarget))
    .ifRight(() => t.fail());
  chooseTarget(state, { request: second, ...options, mostLoad: 0 })
    .ifLeft((refusal) => t.is(refusal.kind, RefusalKind.Overloaded))
    .ifRight(() => t.fail());
});
