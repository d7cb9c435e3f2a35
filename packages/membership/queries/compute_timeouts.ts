/** Times and counts that follow from the number of members. */
import type { Millis } from "../../core/mod.ts";
import { GOSSIP_INTERVAL } from "../gossip.ts";

/** Rounds that news needs to reach everybody, for each doubling of members. */
const SUSPICION_ROUNDS = 2;

/** Times that news is passed on by each member, for each doubling of members. */
const TRANSMISSION_ROUNDS = 2;

/** Shortest time in which a suspicion may be contradicted. */
const LEAST_SUSPICION: Millis = 5 * GOSSIP_INTERVAL;

/** Returns how long a suspect may contradict before it is believed dead. */
export function computeSuspicionTimeout(members: number): Millis {
  const rounds = SUSPICION_ROUNDS * computeDoublings(members);
  return Math.max(LEAST_SUSPICION, rounds * GOSSIP_INTERVAL);
}

/** Returns how often a VM passes on one piece of news. */
export function computeTransmissions(members: number): number {
  return TRANSMISSION_ROUNDS * computeDoublings(members);
}

function computeDoublings(members: number): number {
  return Math.ceil(Math.log2(members + 1));
}
