/** Tests of the choice of peers to borrow from. */
import test from "ava";
import { choosePeers, MAX_PEERS, type PeerWithRegion } from "./mod.ts";

function createPeer(vm: string, region: string): PeerWithRegion {
  return { vm, region, address: `${vm}:1` };
}

const PEERS = [
  createPeer("near-idle", "here"),
  createPeer("far-holder", "there"),
  createPeer("near-small", "here"),
  createPeer("far-idle", "there"),
  createPeer("near-large", "here"),
];

test("holders come before other peers, and in both groups those of the VM's own region first", (t) => {
  const holders = ["near-large", "far-holder", "near-small"];
  const chosen = choosePeers(PEERS, { region: "here", holders });
  t.deepEqual(chosen.map((peer) => peer.vm), [
    "near-large",
    "near-small",
    "far-holder",
    "near-idle",
    "far-idle",
  ]);
});

test("the number of peers asked doesn't grow with the number of VMs", (t) => {
  const peers = Array.from(
    { length: 379 },
    (_, index) => createPeer(`v${index}`, index % 2 === 0 ? "here" : "there"),
  );
  const holders = peers.slice(100).map((peer) => peer.vm);
  const chosen = choosePeers(peers, { region: "here", holders });
  t.is(chosen.length, MAX_PEERS);
  t.true(chosen.every((peer) => peer.region === "here"));
  t.true(chosen.every((peer) => holders.includes(peer.vm)));
});
