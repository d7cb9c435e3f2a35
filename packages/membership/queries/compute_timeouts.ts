/** Timeouts and counts that grow with the logarithm of the number of members. */
import type { Millis } from "../../core/mod.ts";
import { GOSSIP_INTERVAL } from "../gossip.ts";

/**
 * Number of rounds in which an update reaches all members, per doubling of
 * members.
 */
const SUSPICION_ROUNDS_PER_DOUBLING = 2;

/** Number of times that each VM sends an update, per doubling of members. */
const TRANSMISSIONS_PER_DOUBLING = 2;

/** Minimum time that a suspect member has to refute the suspicion. */
const MIN_SUSPICION_TIMEOUT: Millis = 5 * GOSSIP_INTERVAL;

/** Returns how long a member stays suspect before it is marked as dead. */
export function computeSuspicionTimeout(members: number): Millis {
  const rounds = SUSPICION_ROUNDS_PER_DOUBLING * computeDoublings(members);
  return Math.max(MIN_SUSPICION_TIMEOUT, rounds * GOSSIP_INTERVAL);
}

/** Returns the number of messages in which a VM sends one update to peers. */
export function computeTransmissions(members: number): number {
  return TRANSMISSIONS_PER_DOUBLING * computeDoublings(members);
}

function computeDoublings(members: number): number {
  return Math.ceil(Math.log2(members + 1));
}
