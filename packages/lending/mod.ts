/**
 * Token loans between VMs: the choice of home VMs and peers, and the requests.
 */
export type { PlacedVm } from "./choose_homes.ts";
export { chooseHomes, HOMES_PER_REGION } from "./choose_homes.ts";
export type { PlacedPeer } from "./choose_peers.ts";
export { choosePeers, MOST_PEERS } from "./choose_peers.ts";
export type {
  LoanBook,
  LoanContext,
  LoanNeed,
  LoanStep,
  Peer,
} from "./loans.ts";
export { Loans } from "./loans.ts";
