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

const PAUSE_END = 500;

/** Whether a region is allowed, by the lists of the wire. */
function isExpected(
  lists: readonly (readonly string[])[],
  region: string | undefined,
): boolean {
  return lists.every((list) =>
    list.length === 0 || (region !== undefined && list.includes(region))
  );
}

function createState(region: string | undefined) {
  // A data centre without a region may have the name of one.
  const target = createTarget("t", {
    region: region ?? "west",
    ...(region === undefined ? { isRegionUnknown: true } : {}),
  });
  return applyTargets(createRoutingState({ region: "west" }), {
    configuration: createFleet([target]),
    now: 0,
  });
}

test("targets, pauses and relays are those that route and customer allow", (t) => {
  const known = new Map();
  let cases = 0;
  for (const route of RESTRICTIONS) {
    for (const customer of RESTRICTIONS) {
      const homeRegions = combineHomeRegions(
        createHomeRegions(route, known),
        createHomeRegions(customer, known),
      );
      for (const region of REGIONS) {
        cases++;
        const name = JSON.stringify({ route, customer, region });
        const isAllowed = isExpected([route, customer], region);
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
        if (!isAllowed) {
          const refusal = choice.swap().unsafeCoerce();
          t.is(refusal.kind, RefusalKind.NoHomeTarget, name);
          t.true(refusal.retryAfter! > 0, name);
        }
        recordPause(state, "t", PAUSE_END);
        const paused = findPausedRefusal(state, input);
        t.is(paused !== undefined, isAllowed, name);
        const peer = {
          vm: "p",
          address: "10.0.0.1:1",
          ...(region === undefined ? {} : { region }),
        };
        const relays = chooseRelays([peer], {
          self: "v",
          region: "west",
          avoidedUntil: new Map(),
          homeRegions,
          now: 0,
        });
        t.deepEqual(relays, isAllowed ? [peer] : [], name);
      }
    }
  }
  t.is(cases, 75);
});

test("a shared prefix has its holder among the targets in the home regions", (t) => {
  const targets = ["west", "east"].flatMap((region) =>
    [1, 2, 3].map((index) => createTarget(`${region}-${index}`, { region }))
  );
  const state = applyTargets(createRoutingState({ region: "west" }), {
    configuration: createFleet(targets),
    now: 0,
  });
  for (let prefix = 0; prefix < 20; prefix++) {
    const placed = choosePlacement(state, {
      service: "engine",
      beginning: `t${prefix}`,
      sharedTokens: 9_000,
      tried: [],
      homeRegions: new Set(["east"]),
      dataCentre: "addis-1",
      now: 0,
    }).unsafeCoerce();
    t.is(placed.target.region, "east");
    t.true(placed.isHolder);
    t.is(placed.usable, 3);
  }
});
