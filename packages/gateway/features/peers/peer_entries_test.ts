/** Tests what is known of peers that stop as planned. */
import test from "ava";
import {
  applyPeerChanges,
  computeNextAbsence,
  type KnownPeers,
  listNewlyLeaving,
  listPresentPeers,
  type PeerEntry,
} from "./peer_entries.ts";

const ENTRY = { address: "10.0.0.2:7000", region: "here", key: "k1" };
const LEAVING = { ...ENTRY, leaving: true };

function apply(
  known: KnownPeers,
  value: PeerEntry | undefined,
  now: number,
): KnownPeers {
  const change = { key: "v2", ...(value === undefined ? {} : { value }) };
  return applyPeerChanges(known, [change], { self: "v1", now });
}

function listNames(known: KnownPeers, now: number): string[] {
  return listPresentPeers(known, now).map(({ vm }) => vm);
}

test("a VM that stops as planned is a peer until it has ended", (t) => {
  const known = apply(apply(new Map(), ENTRY, 0), LEAVING, 5_000);
  t.deepEqual(listNames(known, 5_000), ["v2"]);
  t.is(computeNextAbsence(known, 5_000), 125_000);
  t.deepEqual(listNames(known, 124_999), ["v2"]);
  t.deepEqual(listNames(known, 125_000), []);
  t.is(computeNextAbsence(known, 125_000), undefined);
});

test("a VM that comes back is a peer again, and its next stop counts anew", (t) => {
  const left = apply(apply(new Map(), ENTRY, 0), LEAVING, 5_000);
  const back = apply(left, { ...ENTRY, key: "k2" }, 9_000);
  t.deepEqual(listNames(back, 500_000), ["v2"]);
  t.is(computeNextAbsence(back, 9_000), undefined);
  const again = apply(back, { ...LEAVING, key: "k2" }, 500_000);
  t.deepEqual(listNewlyLeaving(back, again), ["v2"]);
  t.deepEqual(listNames(again, 510_000), ["v2"]);
});

test("a row that is read again does not prolong a stop", (t) => {
  const left = apply(apply(new Map(), ENTRY, 0), LEAVING, 5_000);
  const read = apply(left, LEAVING, 20_000);
  t.is(computeNextAbsence(read, 20_000), 125_000);
  t.deepEqual(listNewlyLeaving(left, read), []);
});

test("a VM that has stopped before this one started is no peer for long", (t) => {
  const known = apply(new Map(), LEAVING, 100);
  t.deepEqual(listNames(known, 100), ["v2"]);
  t.deepEqual(listNames(known, 120_100), []);
});

test("a VM is not its own peer, and one without a row is none", (t) => {
  const known = applyPeerChanges(new Map(), [{ key: "v1", value: ENTRY }], {
    self: "v1",
    now: 0,
  });
  t.is(known.size, 0);
  t.is(apply(apply(new Map(), ENTRY, 0), undefined, 1).size, 0);
});
