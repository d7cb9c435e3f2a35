/**
 * Tests of what is known of evacuations: by readings that lag, fail or come from
 * a restored store, and by none at all.
 */
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { Right } from "purify-ts";
import {
  createEmptyConfiguration,
  createStoreVersion,
  createSystemClock,
  Kernel,
  type ServiceConfig,
} from "../../../core/mod.ts";
import {
  applyTargets,
  changeEvacuated,
  choosePlacement,
  createRoutingState,
} from "../../../routing/mod.ts";
import { createSilentLog } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createGatewayMetrics } from "../../gateway_metrics.ts";
import type { StoreContact } from "../configuration/decide_configuration_use.ts";
import { applyReading, NO_EVACUATIONS, RESTORE_TERM } from "./apply_reading.ts";
import { decideEvacuationUse, EvacuationUse } from "./decide_evacuation_use.ts";
import { EvacuationFollower } from "./evacuation_follower.ts";
import { VersionSamples } from "./version_samples.ts";

const BOUND = 5_000;
const NOW = 100_000;

const { Current, LastKnown, Outdated } = EvacuationUse;

const CONTACTS: Record<string, StoreContact | undefined> = {
  none: undefined,
  begun: { since: NOW - 1_000, until: NOW },
  lasting: { since: NOW - 60_000, until: NOW - 500 },
  ended: { since: NOW - 60_000, until: NOW - 4_000 },
};

/** What became of the readings since the one that is in use. */
const READINGS = {
  /** The reading in use is the last one, and none has ended since. */
  none: (age: number) => ({ answeredAt: NOW - age, failedAt: -Infinity }),
  failing: (age: number) => ({ answeredAt: NOW - age, failedAt: NOW - 500 }),
  /** Readings failed, and then this process didn't run. */
  stopped: (age: number) => ({ answeredAt: NOW - age, failedAt: NOW - 30_000 }),
  lagging: () => ({ answeredAt: NOW - 500, failedAt: -Infinity }),
};

const AGES = [0, BOUND, BOUND + 1, BOUND + 6_000, BOUND + 6_001, Infinity];

/** Chooses between one target in each data centre. */
function choose(
  dataCentres: readonly string[],
  evacuated: readonly string[],
  beginning = "none",
) {
  const targets = dataCentres.map((dataCentre) => ({
    id: `t-${dataCentre}`,
    service: "s",
    region: "r",
    dataCentre,
    capacity: 8,
  }));
  const configuration = {
    ...createEmptyConfiguration(),
    services: new Map([[
      "s",
      { id: "s", targets } as unknown as ServiceConfig,
    ]]),
  };
  const state = applyTargets(createRoutingState(), { configuration, now: 0 });
  return choosePlacement(changeEvacuated(state, new Set(evacuated)), {
    service: "s",
    beginning,
    sharedTokens: 9_000,
    tried: [],
    dataCentre: "a",
    now: 0,
  });
}

/** What is expected of states with these values; the first row holds. */
const TABLE: [Readonly<Record<string, unknown>>, EvacuationUse][] = [
  [{ age: Infinity }, Outdated],
  [{ age: 0 }, Current],
  [{ age: BOUND }, Current],
  // Copies that lag show that the store is impaired, which takes longer.
  [{ readings: "lagging", age: BOUND + 1 }, Current],
  [{ readings: "lagging", age: BOUND + 6_000 }, Current],
  [{ readings: "lagging" }, Outdated],
  // Nothing shows that the store can't be reached.
  [{ readings: "none" }, Outdated],
  [{ readings: "stopped" }, Outdated],
  [{ contact: "lasting" }, Outdated],
  [{}, LastKnown],
];

// Guards against requests to a data centre that the operator counts as empty, and
// against a fleet that serves nothing because its store is away.
test("targets get requests by contact, age and evacuation as the table says", (t) => {
  let cases = 0;
  for (const contact of Object.keys(CONTACTS)) {
    for (const age of AGES) {
      for (const [readings, create] of Object.entries(READINGS)) {
        const state: Record<string, unknown> = { contact, age, readings };
        const use = decideEvacuationUse({
          now: NOW,
          bound: BOUND,
          isRead: age !== Infinity,
          currentUntil: NOW - age,
          ...create(age),
          contact: CONTACTS[contact],
        });
        const [, expected] = TABLE.find(([row]) =>
          Object.entries(row).every(([name, value]) => value === state[name])
        )!;
        t.is(use, expected, JSON.stringify(state));
        for (const evacuated of [["a"], ["b"], []]) {
          const maySend = use !== Outdated &&
            choose(["a"], evacuated).isRight();
          t.is(maySend, expected !== Outdated && evacuated[0] !== "a");
        }
        cases++;
      }
    }
  }
  t.is(cases, 4 * 6 * 4);
});

test("without evacuated targets a prefix has one other holder, and without any left a request is refused", (t) => {
  const all = ["a", "b", "c"];
  for (let prefix = 0; prefix < 20; prefix++) {
    const choices = [["a"], ["a", "no such"]].map((evacuated) =>
      choose(all, evacuated, `t${prefix}`).unsafeCoerce()
    );
    t.true(choices.every(({ isHolder }) => isHolder));
    t.is(choices[0]!.target.id, choices[1]!.target.id);
    t.not(choices[0]!.target.dataCentre, "a");
  }
  t.true(choose(all, all).swap().unsafeCoerce().retryAfter! > 0);
});

test("readings of older versions are dropped, and a restored store loses no evacuation at once", (t) => {
  type Known = typeof NO_EVACUATIONS;
  const read = (
    known: Known,
    [era, number]: readonly [number, number],
    dataCentres: readonly string[],
    now = 0,
  ) => {
    const version = createStoreVersion(era, number);
    return applyReading(known, { dataCentres, version, now });
  };
  const list = ({ eras }: Known) => [...eras.keys()].sort();
  const first = read(NO_EVACUATIONS, [1, 10], ["a"]);
  t.is(read(first, [1, 9], []), first);
  t.deepEqual(list(read(first, [1, 10], [])), []);
  const restored = read(first, [2, 3], ["b"], 1_000);
  t.deepEqual(list(restored), ["a", "b"]);
  // Listed again, and then removed by the operator.
  const again = read(restored, [2, 4], ["a"], 2_000);
  t.deepEqual(list(again), ["a"]);
  t.deepEqual(list(read(again, [2, 5], [], 3_000)), []);
  // Never listed again.
  const kept = read(restored, [2, 4], [], RESTORE_TERM + 999);
  t.deepEqual(list(kept), ["a"]);
  t.deepEqual(list(read(kept, [2, 4], [], RESTORE_TERM + 1_000)), []);
  // A VM that starts after a restore has nothing to keep.
  t.deepEqual(list(read(NO_EVACUATIONS, [7, 3], [], 0)), []);
});

test("a reading of a copy that lags shows what was current when its version was the newest known", (t) => {
  const samples = new VersionSamples();
  const list = () =>
    [4, 5, 7, 99].map((each) => samples.findCurrentUntil(each));
  t.deepEqual(list(), Array(4).fill(-Infinity));
  for (const version of [5, 7, 9]) samples.record(version * 10, version);
  t.deepEqual(list(), [-Infinity, 50, 70, 90]);
});

test("evacuations are read four times within the bound while it is set, and each end is told once", async (t) => {
  let dataCentres = ["a", "b"];
  let version = 0;
  const calls: number[] = [];
  const load = () => {
    calls.push(performance.now());
    // Each reading lags by one write behind what was known before it.
    const reading = { dataCentres, version: version++, knownVersion: version };
    return Promise.resolve(Right(reading));
  };
  const context = {
    settings: {},
    clock: createSystemClock(),
    random: Math.random,
    log: createSilentLog(),
    kernel: new Kernel(),
    metrics: createGatewayMetrics(),
    dialect: { table: {}, evacuations: { load } },
  } as unknown as GatewayContext;
  const applied: string[][] = [];
  const ended: string[] = [];
  const follower = new EvacuationFollower(context, {
    isLoaded: true,
    hasDataCentre: () => true,
    applyEvacuations: (each) => void applied.push([...each]),
  });
  follower.addEvacuationEndListener((each) => ended.push(each));
  const stop = follower.register();
  const change = (settings: object) => {
    context.settings = settings as typeof context.settings;
    follower.applySettings();
  };
  await sleep(50);
  t.deepEqual([follower.isOutdated, calls.length], [false, 0]);
  change({ evacuationMillis: 400 });
  t.true(follower.isOutdated);
  await sleep(1_000);
  t.false(follower.isOutdated);
  dataCentres = ["b"];
  await sleep(1_000);
  t.deepEqual(ended, ["a"]);
  change({});
  t.false(follower.isOutdated);
  stop();
  const span = calls.at(-1)! - calls[0]!;
  t.true(calls.length - 1 <= span / 90, `${calls.length} in ${span} ms`);
  t.deepEqual(applied, [["a", "b"], ["b"], []]);
});
