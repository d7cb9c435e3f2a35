/** Chooses the peers to ask for a loan, and their order. */
import type { RegionId, VmId } from "../core/mod.ts";
import type { Peer } from "./loans.ts";

/** A peer and its region. */
export interface PeerWithRegion extends Peer {
  readonly region?: RegionId;
}

/**
 * Maximum number of peers asked for one budget, so that the cost of a shortfall
 * doesn't grow with the number of VMs.
 */
export const MAX_PEERS = 12;

/**
 * Returns the peers to ask, in order. Known holders of the budget's tokens come
 * before the others, and in both groups the peers of the VM's own region come
 * first, since a caller waits for the answer. `holders` is sorted by spending
 * rate, highest first, because a VM with a high rate has the most to lend.
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
    .slice(0, MAX_PEERS)
    .map(({ peer }) => peer);
}

function compareRanks(left: readonly number[], right: readonly number[]) {
  for (const [index, rank] of left.entries()) {
    const difference = rank - right[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}
