/**
 * Tests of placement by shared prompt prefix, with the choice of the least
 * loaded target as the baseline in the same run.
 */
import test from "ava";
import {
  createEmptyConfiguration,
  type ServiceConfig,
  ServiceType,
  type TargetConfig,
} from "../../core/mod.ts";
import {
  applyReport,
  applyTargets,
  choosePlacement,
  createRoutingState,
  recordAttemptEnd,
  recordAttemptStart,
  recordPrefillEnd,
  type RoutingState,
} from "../mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";

const SLOTS = 8;

function createTargets(regions: Readonly<Record<string, number>>) {
  return Object.entries(regions).flatMap(([region, count]) =>
    Array.from({ length: count }, (_, index): TargetConfig => ({
      id: `${region}-${index}`,
      service: "llm",
      url: "http://127.0.0.1:1",
      region,
      dataCentre: `${region}-a`,
      release: `release-of-${region}`,
      capacity: SLOTS,
    }))
  );
}

function createState(regions: Readonly<Record<string, number>>): RoutingState {
  const service: ServiceConfig = {
    id: "llm",
    type: ServiceType.ModelEngine,
    path: "",
    checksRequestKeys: false,
    checksFencing: false,
    longestOrder: 0,
    retryRatio: 0,
    progressTimeout: 0,
    targets: createTargets(regions),
  };
  const state = createRoutingState({ region: "west" });
  return applyTargets(state, {
    configuration: {
      ...createEmptyConfiguration(),
      services: new Map([["llm", service]]),
    },
    now: 0,
  });
}

function choose(
  state: RoutingState,
  beginning: string,
  options: { readonly now?: number; readonly sharedTokens?: number } = {},
) {
  const { now = 0, sharedTokens = 4_000 } = options;
  return choosePlacement(state, {
    service: "llm",
    beginning,
    sharedTokens,
    tried: [],
    dataCentre: "west-a",
    now,
  });
}

function reportLoad(state: RoutingState, id: string, running: number): void {
  applyReport(state, id, {
    now: 0,
    report: { running, queued: 0, leaving: false, models: [] },
  });
}

test("all VMs send the same prefix to the same target", (t) => {
  const [first, second] = [createState({ west: 6 }), createState({ west: 6 })];
  recordAttemptStart(second, "west-0");
  const seen = new Set<string>();
  for (let prefix = 0; prefix < 40; prefix++) {
    const placed = choose(first, `t${prefix}`).unsafeCoerce();
    t.true(placed.isHolder);
    const { target } = choose(second, `t${prefix}`).unsafeCoerce();
    t.is(target.id, placed.target.id);
    seen.add(target.id);
  }
  t.is(seen.size, 6);
});

test("a holder whose backlog costs more than a second prefill is not chosen", (t) => {
  const state = createState({ west: 3 });
  const holder = choose(state, "t").unsafeCoerce().target.id;
  recordAttemptStart(state, holder, { now: 0, promptTokens: 30_000 });
  t.not(choose(state, "t").unsafeCoerce().target.id, holder);
  recordPrefillEnd(state, holder, 30_000);
  t.is(choose(state, "t").unsafeCoerce().target.id, holder);
});

test("when the targets of a region are busy, the holder of another region is chosen", (t) => {
  const state = createState({ west: 2, east: 4 });
  const short = { sharedTokens: 500 };
  const own = choose(state, "t", short).unsafeCoerce();
  t.is(own.target.region, "west");
  for (const id of ["west-0", "west-1"]) reportLoad(state, id, SLOTS);
  for (const id of ["east-0", "east-1", "east-2", "east-3"]) {
    reportLoad(state, id, 1);
  }
  const remote = choose(state, "t", short).unsafeCoerce();
  t.is(remote.target.region, "east");
  t.true(remote.isHolder);
});

test("a long prefix has one holder for all regions, a short one a holder in each", (t) => {
  const state = createState({ west: 3, east: 3 });
  const regions = (sharedTokens: number) =>
    new Set(
      Array.from({ length: 30 }, (_, prefix) =>
        choose(state, `t${prefix}`, { sharedTokens }).unsafeCoerce().target
          .region),
    );
  t.deepEqual([...regions(5_000)].sort(), ["east", "west"]);
  t.deepEqual([...regions(500)], ["west"]);
});

test("only targets that recently reported it themselves count as full", (t) => {
  const state = createState({ west: 2 });
  reportLoad(state, "west-0", 2 * SLOTS);
  t.is(choose(state, "t").unsafeCoerce().target.id, "west-1");
  reportLoad(state, "west-1", 2 * SLOTS);
  t.true(choose(state, "t").isLeft());
  t.true(choose(state, "t", { now: 5_000 }).isRight());
});

/** An open request of the simulation, and when it ends. */
interface SimulatedRequest {
  readonly target: string;
  readonly endsAt: number;
}

/** Prompt tokens that a simulated target prefills per millisecond. */
const PREFILL_RATE = 50;

const SIMULATED_SECONDS = 60;
const REQUESTS_PER_SECOND = 40;
const PREFIX_COUNT = 60;
const SHARED_TOKENS = 4_000;
const OWN_TOKENS = 1_000;

/**
 * Simulates 40 requests a second over 60 shared prefixes against six targets.
 * Each target prefills 50 tokens a millisecond, one prompt after the other, and
 * caches the 12 prefixes used last. Returns the shared tokens prefilled and the
 * mean time to the end of the prefill in milliseconds.
 */
function simulateLoad(
  chooseTarget: (state: RoutingState, prefix: string, now: number) => string,
): { readonly sharedPrefilled: number; readonly meanWait: number } {
  const state = createState({ west: 6 });
  const caches = new Map<string, string[]>();
  const freeAt = new Map<string, number>();
  let open: SimulatedRequest[] = [];
  let [sharedPrefilled, totalWait, count, seed] = [0, 0, 0, 7];
  const draw = () => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
  for (
    let now = 0;
    now < SIMULATED_SECONDS * 1_000;
    now += 1_000 / REQUESTS_PER_SECOND
  ) {
    for (const { target } of open.filter((each) => each.endsAt <= now)) {
      recordAttemptEnd(state, target, { now, end: AttemptEnd.Complete });
    }
    open = open.filter((each) => each.endsAt > now);
    const prefix = `t${Math.floor(draw() ** 2 * PREFIX_COUNT)}`;
    const target = chooseTarget(state, prefix, now);
    const cache = caches.get(target) ?? [];
    const isCached = cache.includes(prefix);
    caches.set(
      target,
      [prefix, ...cache.filter((each) => each !== prefix)].slice(0, 12),
    );
    const tokens = OWN_TOKENS + (isCached ? 0 : SHARED_TOKENS);
    if (!isCached) sharedPrefilled += SHARED_TOKENS;
    const endsAt = Math.max(now, freeAt.get(target) ?? 0) +
      tokens / PREFILL_RATE;
    freeAt.set(target, endsAt);
    totalWait += endsAt - now;
    count++;
    recordAttemptStart(state, target, {
      now,
      promptTokens: SHARED_TOKENS + OWN_TOKENS,
    });
    open.push({ target, endsAt });
  }
  return { sharedPrefilled, meanWait: totalWait / count };
}

test("shared prefixes are prefilled less often and finish sooner than by least load", (t) => {
  const placed = simulateLoad((state, prefix, now) =>
    choose(state, prefix, { now }).unsafeCoerce().target.id
  );
  const leastLoad = simulateLoad((state) =>
    [...state.targets.values()]
      .sort((left, right) => left.inFlight - right.inFlight)[0]!.config.id
  );
  t.true(placed.sharedPrefilled <= leastLoad.sharedPrefilled / 2);
  t.true(placed.meanWait <= leastLoad.meanWait);
});

test("only targets of a required release are chosen, also when others cost less", (t) => {
  const state = createState({ west: 2, east: 1 });
  const input = {
    service: "llm",
    sharedTokens: 0,
    dataCentre: "west-a",
    now: 0,
  };
  const choose = (release: string, tried: readonly string[] = []) =>
    choosePlacement(state, { ...input, release, tried })
      .map((placement) => placement.target.id).toMaybe().extract();
  t.is(choose("release-of-east"), "east-0");
  t.is(choose("release-of-east", ["east-0"]), undefined);
  t.regex(choose("release-of-west")!, /^west/);
});
