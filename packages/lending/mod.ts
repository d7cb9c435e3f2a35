/** Loans of tokens between VMs. */
export type { PlacedVm } from "./choose_homes.ts";
export { chooseHomes, HOMES_PER_REGION } from "./choose_homes.ts";
export type { PeerWithRegion } from "./choose_peers.ts";
export { choosePeers, MOST_PEERS } from "./choose_peers.ts";
export type {
  BorrowRound,
  LoanAccountAccess,
  LoanContext,
  LoanNeed,
  Peer,
} from "./loans.ts";
export { Loans } from "./loans.ts";
