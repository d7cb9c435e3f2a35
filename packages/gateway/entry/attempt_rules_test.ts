/**
 * Tests of the home regions of an attempt: guards against a request that waited,
 * or is retried, and goes where the newest configuration doesn't allow it.
 */
import test from "ava";
import {
  type GatewayConfiguration,
  type HomeRegions,
  RouteIndex,
} from "../../routes/mod.ts";
import { AttemptRules } from "./attempt_rules.ts";

function createIndex(
  routes: Readonly<Record<string, HomeRegions | undefined>>,
  customers: Readonly<Record<string, HomeRegions | undefined>>,
): RouteIndex {
  const list = (homes: Readonly<Record<string, HomeRegions | undefined>>) =>
    Object.entries(homes).map(([id, homeRegions]) => ({ id, homeRegions }));
  return new RouteIndex({
    routes: list(routes).map((each) => ({
      ...each,
      host: "h",
      pathPrefix: `/${each.id}/`,
    })),
    customers: list(customers).map((each) => ({ ...each, keys: [] })),
  } as unknown as GatewayConfiguration);
}

const [WEST, EAST, BOTH] = [["w"], ["e"], ["w", "e"]].map((each) =>
  new Set(each)
);

/** Homes at arrival, of the newest route and customer, and what they allow. */
const TABLE: [
  HomeRegions | undefined,
  RouteIndex | undefined,
  readonly string[] | undefined,
][] = [
  [undefined, undefined, undefined],
  [undefined, createIndex({ r: undefined }, { c: undefined }), undefined],
  [undefined, createIndex({ r: WEST }, {}), ["w"]],
  [undefined, createIndex({ other: WEST }, { other: WEST }), undefined],
  [BOTH, createIndex({ r: WEST }, { c: undefined }), ["w"]],
  [BOTH, createIndex({ r: BOTH }, { c: EAST }), ["e"]],
  // Neither more regions nor a removed restriction widen those at arrival.
  [WEST, createIndex({ r: BOTH }, {}), ["w"]],
  [WEST, createIndex({ r: undefined }, {}), ["w"]],
  // A route and a customer that are gone keep those at arrival.
  [EAST, createIndex({}, {}), ["e"]],
  [WEST, createIndex({ r: EAST }, {}), []],
];

test("an attempt may go where its arrival and the newest configuration allow", (t) => {
  for (const [homeRegions, newest, expected] of TABLE) {
    const configuration = { read: () => newest, isOutdated: false };
    const rules = new AttemptRules(configuration, { isOutdated: false });
    const call = { homeRegions, route: { id: "r" }, customer: { id: "c" } };
    const found = rules.findHomeRegions(call);
    t.deepEqual(found === undefined ? undefined : [...found], expected);
  }
  const rules = new AttemptRules({
    read: () => createIndex({ r: BOTH }, { "": EAST }),
    isOutdated: false,
  }, { isOutdated: false });
  const anonymous = {
    homeRegions: undefined,
    route: { id: "r" },
    customer: undefined,
  };
  t.deepEqual(rules.findHomeRegions(anonymous), BOTH);
});

test("a VM that may lack newer home regions in use, or evacuations, makes no attempt", (t) => {
  const isOutdatedFor = (
    homeRegions: HomeRegions | undefined,
    routes: Readonly<Record<string, HomeRegions | undefined>>,
  ) =>
    new AttemptRules(
      { read: () => createIndex(routes, {}), isOutdated: true },
      { isOutdated: false },
    )
      .isOutdatedFor({ homeRegions, route: { id: "r" }, customer: undefined });
  t.false(isOutdatedFor(undefined, { r: undefined }));
  t.true(isOutdatedFor(undefined, { other: WEST }));
  t.true(isOutdatedFor(WEST, {}));
  const configuration = { read: () => undefined, isOutdated: false };
  const call = {
    homeRegions: undefined,
    route: { id: "r" },
    customer: undefined,
  };
  for (const isOutdated of [false, true]) {
    const rules = new AttemptRules(configuration, { isOutdated });
    t.is(rules.isOutdatedFor(call), isOutdated);
  }
});
