/** Chooses the peers that are asked to relay a connection, and their order. */
import {
  computeHash,
  computeScore,
  type MonotonicTime,
  type RegionId,
  type VmId,
} from "../../core/mod.ts";
import { type HomeRegions, isAllowedRegion } from "../../routes/mod.ts";

/** A peer that may relay. */
export interface RelayCandidate {
  readonly vm: VmId;
  readonly address: string;
  readonly region?: RegionId;
}

/** Maximum number of peers asked for one connection. */
export const MAX_RELAYS = 3;

/**
 * Returns the peers to ask, in order. Peers of the own region come first, in an
 * order of this VM's own, so that the VMs of a data centre that is cut off spread
 * over the others. The last of those asked is of another region, if there is
 * one, since one cause may cut off all VMs of a region. Peers that recently
 * failed to relay follow after all others. For a request with home regions, only
 * peers in one of them are asked, since a relay receives the request's body.
 */
export function chooseRelays<Peer extends RelayCandidate>(
  peers: readonly Peer[],
  input: {
    readonly self: VmId;
    readonly region: RegionId | undefined;
    /** Peers that failed, and until when they are avoided. */
    readonly avoidedUntil: ReadonlyMap<VmId, MonotonicTime>;
    /** The only regions whose peers may relay; any if absent. */
    readonly homeRegions?: HomeRegions | undefined;
    readonly now: MonotonicTime;
  },
): Peer[] {
  const { self, region, avoidedUntil, homeRegions, now } = input;
  const selfHash = computeHash(self);
  const isAvoided = ({ vm }: Peer) => now < (avoidedUntil.get(vm) ?? -Infinity);
  const ranked = peers
    .filter((peer) => isAllowedRegion(homeRegions, peer.region))
    .map((peer) => ({
      peer,
      score: computeScore(selfHash, computeHash(peer.vm)),
    }))
    .sort((left, right) =>
      Number(isAvoided(left.peer)) - Number(isAvoided(right.peer)) ||
      right.score - left.score
    )
    .map(({ peer }) => peer);
  const near = ranked.filter((peer) => peer.region === region);
  const far = ranked.filter((peer) => peer.region !== region);
  const usableFar = far.filter((peer) => !isAvoided(peer));
  const first = near.slice(0, MAX_RELAYS - Math.min(1, usableFar.length));
  return [...first, ...usableFar, ...near.slice(first.length), ...far]
    .filter((peer, index, all) => all.indexOf(peer) === index)
    .slice(0, MAX_RELAYS);
}
