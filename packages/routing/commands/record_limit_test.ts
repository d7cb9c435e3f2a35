/**
 * Tests of the limits that targets name, and of the choice among such targets
 * and cold ones.
 */
import test from "ava";
import {
  createEmptyConfiguration,
  RefusalKind,
  ServiceType,
  type TargetConfig,
} from "../../core/mod.ts";
import {
  applyTargets,
  choosePlacement,
  computeColdTurns,
  createRoutingState,
  type LimitNotice,
  recordCold,
  recordColdTurn,
  recordLimit,
  recordTurn,
  type RoutingState,
} from "../mod.ts";

const SERVICE = "app";

function createState(...ids: string[]): RoutingState {
  const targets = ids.map((id): TargetConfig => ({
    id,
    service: SERVICE,
    url: "http://127.0.0.1:1",
    region: "west",
    dataCentre: "west-a",
    release: "v1",
    capacity: 8,
  }));
  const service = {
    id: SERVICE,
    type: ServiceType.PlainService,
    path: "",
    checksRequestKeys: false,
    checksFencing: false,
    longestOrder: 0,
    retryRatio: 0,
    progressTimeout: 0,
    targets,
  };
  const configuration = {
    ...createEmptyConfiguration(),
    services: new Map([[SERVICE, service]]),
  };
  return applyTargets(createRoutingState(), { configuration, now: 0 });
}

function choose(
  state: RoutingState,
  input: { readonly now?: number; readonly hasOrder?: boolean } = {},
) {
  const { now = 10_000, hasOrder = true } = input;
  const turns = { order: { index: 0, count: 1 }, now };
  const coldTurns = { group: { self: 1, others: [] }, now };
  return choosePlacement(state, {
    service: SERVICE,
    sharedTokens: 0,
    tried: [],
    dataCentre: "west-a",
    now: 0,
    ...(hasOrder ? { turns, coldTurns } : {}),
  });
}

function readLimit(state: RoutingState): number | undefined {
  return state.targets.get("a")?.limit?.perSecond;
}

test("a limit holds until a newer answer names another one or none", (t) => {
  const state = createState("a");
  const record = (notice: LimitNotice) => recordLimit(state, "a", notice);
  t.false(record({ at: 5 }));
  t.true(record({ perSecond: 2, at: 10 }));
  t.false(record({ perSecond: 2, at: 20 }));
  t.false(record({ at: 15 }));
  t.is(readLimit(state), 2);
  t.true(record({ perSecond: 1, at: 30 }));
  t.is(readLimit(state), 1);
  t.true(record({ at: 31 }));
  t.is(readLimit(state), undefined);
});

test("a limited target is chosen once in each turn, and others in between", (t) => {
  const state = createState("a", "b");
  recordLimit(state, "a", { perSecond: 0.5, at: 0 });
  recordLimit(state, "b", { perSecond: 1_000, at: 0 });
  const chosen = [];
  for (let now = 10_000; now < 20_000; now += 100) {
    const { target, turn } = choose(state, { now }).unsafeCoerce();
    t.not(turn, undefined);
    recordTurn(state, target.id, turn!);
    chosen.push(target.id);
  }
  const count = chosen.filter((id) => id === "a").length;
  t.true(count >= 5 && count <= 9);
});

test("a VM that doesn't know its place among the VMs uses no limited target", (t) => {
  const state = createState("a", "b");
  recordLimit(state, "a", { perSecond: 100, at: 0 });
  const { target } = choose(state, { hasOrder: false }).unsafeCoerce();
  t.is(target.id, "b");
  recordLimit(state, "b", { perSecond: 100, at: 0 });
  const refusal = choose(state, { hasOrder: false }).swap().unsafeCoerce();
  t.is(refusal.kind, RefusalKind.TargetsLimited);
});

test("while no target has a turn, the refusal says when the next one comes", (t) => {
  const state = createState("a");
  recordLimit(state, "a", { perSecond: 0.25, at: 0 });
  recordTurn(state, "a", 8_000);
  const refusal = choose(state, { now: 9_100 }).swap().unsafeCoerce();
  t.is(refusal.kind, RefusalKind.TargetsLimited);
  t.is(refusal.retryAfter, 2_900);
});

/** Marks targets as cold, with a turn each second that lasts 2 s. */
function makeCold(state: RoutingState, ...ids: string[]): void {
  const turns = computeColdTurns({ perSecond: 1, overage: 1.5, slack: 5 });
  for (const id of ids) recordCold(state, id, { until: Infinity, turns });
}

/** Sends as many requests as a time allows; returns their targets. */
function sendAll(state: RoutingState, now: number): string[] {
  const choice = choose(state, { now });
  if (choice.isLeft()) return [];
  const { target, turn, coldTurn } = choice.unsafeCoerce();
  if (turn !== undefined) recordTurn(state, target.id, turn);
  recordColdTurn(state, target.id, coldTurn!);
  return [target.id, ...sendAll(state, now)];
}

// Guards against a whole service refused while one of its targets has a turn.
test("requests use the turns at any cold target, each once, and without turns only others", (t) => {
  const state = createState("a", "b");
  makeCold(state, "a", "b");
  t.deepEqual(sendAll(state, 10_100).sort(), ["a", "a", "b", "b"]);
  t.deepEqual(sendAll(state, 11_100).sort(), ["a", "b"]);
  const refusal = choose(state, { now: 11_100 }).swap().unsafeCoerce();
  t.is(refusal.kind, RefusalKind.TargetsLimited);
  t.is(refusal.retryAfter, 1_000);
  t.true(choose(state, { hasOrder: false }).isLeft());
  recordCold(state, "b", undefined);
  t.is(choose(state, { hasOrder: false }).unsafeCoerce().target.id, "b");
});

test("a cold target gets no more requests than the lower limit that it names", (t) => {
  const state = createState("a");
  makeCold(state, "a");
  recordLimit(state, "a", { perSecond: 0.25, at: 0 });
  const times = Array.from({ length: 40 }, (_, index) => 20_000 + index * 500);
  const sent = times.flatMap((now) => sendAll(state, now));
  t.true(sent.length >= 4 && sent.length <= 8, String(sent.length));
});
