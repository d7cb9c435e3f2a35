/** Times and counts that follow from the number of members. */
import type { Millis } from "../../core/mod.ts";
import { GOSSIP_INTERVAL } from "../gossip.ts";

/** Rounds that news needs to reach everybody, for each doubling of members. */
const SUSPICION_ROUNDS_PER_DOUBLING = 2;

/** Times that news is passed on by each member, for each doubling of members. */
const TRANSMISSIONS_PER_DOUBLING = 2;

/** Shortest time in which a suspicion may be contradicted. */
const MIN_SUSPICION_TIMEOUT: Millis = 5 * GOSSIP_INTERVAL;

/** Returns how long a suspect may contradict before it is believed dead. */
export function computeSuspicionTimeout(members: number): Millis {
  const rounds = SUSPICION_ROUNDS_PER_DOUBLING * computeDoublings(members);
  return Math.max(MIN_SUSPICION_TIMEOUT, rounds * GOSSIP_INTERVAL);
}

/** Returns how often a VM passes on one piece of news. */
export function computeTransmissions(members: number): number {
  return TRANSMISSIONS_PER_DOUBLING * computeDoublings(members);
}

function computeDoublings(members: number): number {
  return Math.ceil(Math.log2(members + 1));
}
