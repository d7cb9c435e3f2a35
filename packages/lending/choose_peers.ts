/** Which VMs to ask for a loan, and in which order. */
import type { RegionId, VmId } from "../core/mod.ts";
import type { Peer } from "./loans.ts";

/** A peer and where it stands. */
export interface PeerWithRegion extends Peer {
  readonly region?: RegionId;
}

/**
 * Most peers that are asked for one budget, so that a shortage costs the same in
 * a fleet of any size.
 */
export const MOST_PEERS = 12;

/**
 * Chooses the peers to ask: those that hold the budget's tokens before those
 * that are not known to, and of each the ones of the own region first, since a
 * caller waits for the answer. `holders` come with the largest drawer first,
 * which has most to lend.
 */
export function choosePeers(
  peers: readonly PeerWithRegion[],
  input: {
    readonly region: RegionId | undefined;
    readonly holders: readonly VmId[];
  },
): PeerWithRegion[] {
  const ranks = new Map(input.holders.map((vm, rank) => [vm, rank]));
  const computeRank = (peer: PeerWithRegion) => {
    const rank = ranks.get(peer.vm) ?? ranks.size;
    const isHolder = ranks.has(peer.vm);
    return [isHolder ? 0 : 1, peer.region === input.region ? 0 : 1, rank];
  };
  return peers
    .map((peer) => ({ peer, rank: computeRank(peer) }))
    .sort((left, right) => compareRanks(left.rank, right.rank))
    .slice(0, MOST_PEERS)
    .map(({ peer }) => peer);
}

function compareRanks(left: readonly number[], right: readonly number[]) {
  for (const [index, rank] of left.entries()) {
    const difference = rank - right[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}
