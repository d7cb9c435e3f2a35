/**
 * Tests of the home regions of an attempt: guards against a request that waited,
 * or is retried, and goes where the newest configuration doesn't allow it.
 */
import test from "ava";
import { type GatewayConfiguration, RouteIndex } from "../../routes/mod.ts";
import { AttemptRules } from "./attempt_rules.ts";

/** Home regions, one letter each; undefined for none. */
type Homes = string | undefined;

const createHomes = (homes: Homes) =>
  homes === undefined ? undefined : new Set(homes);

/** Creates an index with the home regions of one route and one customer. */
function createIndex(route: Homes, customer?: Homes): RouteIndex {
  const create = (id: string, homes: Homes) => [
    { id, host: "h", keys: [], homeRegions: createHomes(homes) },
  ];
  return new RouteIndex({
    routes: create("r", route),
    customers: create("c", customer),
  } as unknown as GatewayConfiguration);
}

function createCall(homes: Homes, route = "r", customer = "c") {
  const homeRegions = createHomes(homes);
  return { homeRegions, route: { id: route }, customer: { id: customer } };
}

/** A call, the newest configuration, and the regions that are allowed. */
const TABLE: [ReturnType<typeof createCall>, RouteIndex | undefined, Homes][] =
  [
    [createCall(undefined), undefined, undefined],
    [createCall(undefined), createIndex(undefined), undefined],
    [createCall(undefined), createIndex("w"), "w"],
    [createCall("we"), createIndex("w"), "w"],
    [createCall("we"), createIndex("we", "e"), "e"],
    [createCall("w"), createIndex("e"), ""],
    // Neither more regions nor a removed restriction widen those at arrival.
    [createCall("w"), createIndex("we"), "w"],
    [createCall("w"), createIndex(undefined), "w"],
    // A route and a customer that are gone keep those at arrival.
    [createCall("e", "gone", "gone"), createIndex("w", "w"), "e"],
    [createCall(undefined, "gone", "gone"), createIndex("w", "w"), undefined],
  ];

test("an attempt may go where its arrival and the newest configuration allow", (t) => {
  for (const [call, newest, expected] of TABLE) {
    const configuration = { read: () => newest, isOutdated: false };
    const rules = new AttemptRules(configuration, { isOutdated: false });
    t.deepEqual(rules.findHomeRegions(call), createHomes(expected));
  }
});

test("a VM that may lack newer home regions in use, or evacuations, makes no attempt", (t) => {
  const isOutdatedFor = (
    homes: Homes,
    route: Homes,
    isEvacuationMissing = false,
  ) =>
    new AttemptRules(
      { read: () => createIndex(route), isOutdated: !isEvacuationMissing },
      { isOutdated: isEvacuationMissing },
    ).isOutdatedFor(createCall(homes));
  t.false(isOutdatedFor(undefined, undefined));
  t.true(isOutdatedFor(undefined, "w"));
  t.true(isOutdatedFor("w", undefined));
  t.true(isOutdatedFor(undefined, undefined, true));
});
