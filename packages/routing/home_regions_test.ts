/**
 * Tests of home regions over all routes, customers, targets and peers. They guard
 * against a request whose body reaches a VM outside the regions of its route and
 * its customer, by whatever decision.
 */
import test from "ava";
import { RefusalKind } from "../core/mod.ts";
import { combineHomeRegions, createHomeRegions } from "../routes/mod.ts";
import {
  applyTargets,
  choosePlacement,
  chooseRelays,
  createRoutingState,
  findPausedRefusal,
  recordPause,
} from "./mod.ts";
import { createFleet, createTarget } from "./test_fleet.ts";

const RESTRICTIONS = [[], ["west"], ["east"], ["east", "west"], ["nowhere"]];

/** Regions of a target or a peer; one has none that is known. */
const REGIONS = ["west", "east", undefined];

function createState(region: string | undefined) {
  // A data centre without a region may have the name of one.
  const isRegionUnknown = region === undefined;
  const target = createTarget("t", {
    region: region ?? "west",
    isRegionUnknown,
  });
  const configuration = createFleet([target]);
  return applyTargets(createRoutingState(), { configuration, now: 0 });
}

const CASES = RESTRICTIONS.flatMap((route) =>
  RESTRICTIONS.flatMap((customer) =>
    REGIONS.map((region) => ({ route, customer, region }))
  )
);

test("targets, pauses and relays are those that route and customer allow", (t) => {
  t.is(CASES.length, 75);
  for (const { route, customer, region } of CASES) {
    const name = JSON.stringify({ route, customer, region });
    const isAllowed = [route, customer].every((list) =>
      list.length === 0 || list.some((each) => each === region)
    );
    const [first, second] = [route, customer]
      .map((list) => createHomeRegions(list, new Map()));
    const homeRegions = combineHomeRegions(first, second);
    const state = createState(region);
    const input = {
      service: "engine",
      sharedTokens: 0,
      tried: [],
      dataCentre: "addis-1",
      now: 0,
      ...(homeRegions === undefined ? {} : { homeRegions }),
    };
    const choice = choosePlacement(state, input);
    t.is(choice.isRight(), isAllowed, name);
    choice.ifLeft(({ kind, retryAfter = 0 }) => {
      t.is(kind, RefusalKind.NoHomeTarget, name);
      t.true(retryAfter > 0, name);
    });
    recordPause(state, "t", 500);
    t.is(findPausedRefusal(state, input) !== undefined, isAllowed, name);
    const peer = { vm: "p", address: "10.0.0.1:1" };
    const relays = chooseRelays([
      region === undefined ? peer : { ...peer, region },
    ], {
      self: "v",
      region: "west",
      avoidedUntil: new Map(),
      homeRegions,
      now: 0,
    });
    t.is(relays.length, isAllowed ? 1 : 0, name);
  }
});
