/** Tests of the choice of peers that relay connections. */
import test from "ava";
import { chooseRelays } from "../mod.ts";

const PEERS = Array.from({ length: 12 }, (_, index) => ({
  vm: `v${index + 1}`,
  address: `10.0.0.${index + 1}:1`,
  region: index < 8 ? "near" : "far",
}));

const INPUT = {
  self: "v0",
  region: "near",
  avoidedUntil: new Map<string, number>(),
  now: 0,
};

test("peers of the own region are asked first, and the last of another region", (t) => {
  const regions = chooseRelays(PEERS, INPUT).map((peer) => peer.region);
  t.deepEqual(regions, ["near", "near", "far"]);
  const near = PEERS.slice(0, 8);
  t.is(chooseRelays(near, INPUT).length, 3);
  t.deepEqual(chooseRelays([], INPUT), []);
});

test("VMs that are cut off together spread over their peers", (t) => {
  const first = Array.from(
    { length: 100 },
    (_, index) => chooseRelays(PEERS, { ...INPUT, self: `w${index}` })[0]!.vm,
  );
  const counts = PEERS.slice(0, 8)
    .map(({ vm }) => first.filter((each) => each === vm).length);
  t.true(Math.min(...counts) >= 3);
  t.true(Math.max(...counts) <= 30);
});

test("a peer that failed is asked after the others until its time is over", (t) => {
  const [best] = chooseRelays(PEERS, INPUT);
  const avoidedUntil = new Map([[best!.vm, 2_000]]);
  const later = chooseRelays(PEERS, { ...INPUT, avoidedUntil });
  t.false(later.includes(best!));
  t.is(chooseRelays(PEERS, { ...INPUT, avoidedUntil, now: 2_000 })[0], best);
  const all = new Map(PEERS.map(({ vm }) => [vm, 2_000]));
  t.is(chooseRelays(PEERS, { ...INPUT, avoidedUntil: all }).length, 3);
});
