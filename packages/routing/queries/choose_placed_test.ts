/**
 * Tests of placing prompts by their shared beginning, with least load as the
 * baseline in the same run.
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

test("all VMs send the same beginning to the same target", (t) => {
  const [one, other] = [createState({ west: 6 }), createState({ west: 6 })];
  recordAttemptStart(other, "west-0");
  const seen = new Set<string>();
  for (let thing = 0; thing < 40; thing++) {
    const placed = choose(one, `t${thing}`).unsafeCoerce();
    t.true(placed.isHolder);
    const { target } = choose(other, `t${thing}`).unsafeCoerce();
    t.is(target.id, placed.target.id);
    seen.add(target.id);
  }
  t.is(seen.size, 6);
});

test("a holder whose backlog costs more than reading again is left", (t) => {
  const state = createState({ west: 3 });
  const holder = choose(state, "t").unsafeCoerce().target.id;
  recordAttemptStart(state, holder, { now: 0, promptTokens: 30_000 });
  t.not(choose(state, "t").unsafeCoerce().target.id, holder);
  recordPrefillEnd(state, holder, 30_000);
  t.is(choose(state, "t").unsafeCoerce().target.id, holder);
});

test("a region whose targets are busy is carried by another, at its holder", (t) => {
  const state = createState({ west: 2, east: 4 });
  const short = { sharedTokens: 500 };
  const atHome = choose(state, "t", short).unsafeCoerce();
  t.is(atHome.target.region, "west");
  for (const id of ["west-0", "west-1"]) reportLoad(state, id, SLOTS);
  for (const id of ["east-0", "east-1", "east-2", "east-3"]) {
    reportLoad(state, id, 1);
  }
  const away = choose(state, "t", short).unsafeCoerce();
  t.is(away.target.region, "east");
  t.true(away.isHolder);
});

test("a long beginning has one place for all regions, a short one one in each", (t) => {
  const state = createState({ west: 3, east: 3 });
  const regions = (sharedTokens: number) =>
    new Set(
      Array.from({ length: 30 }, (_, thing) =>
        choose(state, `t${thing}`, { sharedTokens }).unsafeCoerce().target
          .region),
    );
  t.deepEqual([...regions(5_000)].sort(), ["east", "west"]);
  t.deepEqual([...regions(500)], ["west"]);
});

test("only targets that said so themselves count as full", (t) => {
  const state = createState({ west: 2 });
  reportLoad(state, "west-0", 2 * SLOTS);
  t.is(choose(state, "t").unsafeCoerce().target.id, "west-1");
  reportLoad(state, "west-1", 2 * SLOTS);
  t.true(choose(state, "t").isLeft());
  t.true(choose(state, "t", { now: 5_000 }).isRight());
});

/** One request of a played load, and when it ends. */
interface PlayedRequest {
  readonly target: string;
  readonly endsAt: number;
}

/** Tokens that a played target reads in a millisecond. */
const READ_RATE = 50;

const PLAYED_SECONDS = 60;
const REQUESTS_PER_SECOND = 40;
const THINGS = 60;
const SHARED = 4_000;
const OWN = 1_000;

/**
 * Plays 40 requests a second over 60 shared beginnings against six targets that
 * read 50 tokens a millisecond one after the other and keep the 12 latest
 * beginnings. Returns the shared tokens read and the mean wait in milliseconds.
 */
function playLoad(
  chooseTarget: (state: RoutingState, thing: string, now: number) => string,
): { readonly sharedRead: number; readonly meanWait: number } {
  const state = createState({ west: 6 });
  const caches = new Map<string, string[]>();
  const freeAt = new Map<string, number>();
  let open: PlayedRequest[] = [];
  let [sharedRead, waits, count, seed] = [0, 0, 0, 7];
  const draw = () => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
  for (
    let now = 0;
    now < PLAYED_SECONDS * 1_000;
    now += 1_000 / REQUESTS_PER_SECOND
  ) {
    for (const { target } of open.filter((each) => each.endsAt <= now)) {
      recordAttemptEnd(state, target, { now, end: AttemptEnd.Complete });
    }
    open = open.filter((each) => each.endsAt > now);
    const thing = `t${Math.floor(draw() ** 2 * THINGS)}`;
    const target = chooseTarget(state, thing, now);
    const cache = caches.get(target) ?? [];
    const isKept = cache.includes(thing);
    caches.set(
      target,
      [thing, ...cache.filter((each) => each !== thing)].slice(0, 12),
    );
    const tokens = OWN + (isKept ? 0 : SHARED);
    if (!isKept) sharedRead += SHARED;
    const endsAt = Math.max(now, freeAt.get(target) ?? 0) + tokens / READ_RATE;
    freeAt.set(target, endsAt);
    waits += endsAt - now;
    count++;
    recordAttemptStart(state, target, { now, promptTokens: SHARED + OWN });
    open.push({ target, endsAt });
  }
  return { sharedRead, meanWait: waits / count };
}

test("shared beginnings are read less often and answered sooner than by least load", (t) => {
  const placed = playLoad((state, thing, now) =>
    choose(state, thing, { now }).unsafeCoerce().target.id
  );
  const leastLoad = playLoad((state) =>
    [...state.targets.values()]
      .sort((left, right) => left.inFlight - right.inFlight)[0]!.config.id
  );
  t.true(placed.sharedRead <= leastLoad.sharedRead / 2);
  t.true(placed.meanWait <= leastLoad.meanWait);
});
