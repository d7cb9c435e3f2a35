/**
 * Token loans between VMs: the choice of home VMs and peers, and the requests.
 */
export {
  chooseHomes,
  HOMES_PER_REGION,
  MAX_SMALL_REGION,
} from "./choose_homes.ts";
export type { PeerWithRegion } from "./choose_peers.ts";
export { choosePeers, MAX_PEERS } from "./choose_peers.ts";
export type {
  BorrowOptions,
  BorrowRound,
  LoanAccountAccess,
  LoanContext,
  Peer,
} from "./loans.ts";
export { Loans } from "./loans.ts";
