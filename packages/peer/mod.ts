/** tRPC between the entry VMs. */
export type { PeerClientOptions } from "./peer_client.ts";
export { PeerClient } from "./peer_client.ts";
export type { PeerHandlers, PeerRouter } from "./peer_router.ts";
export {
  createLoanRouter,
  createPeerHandler,
  createPeerRouter,
  isPeerKey,
} from "./peer_router.ts";
export type {
  PeerBills,
  PeerGossip,
  PeerLoanAnswer,
  PeerLoanRequest,
  PeerRows,
} from "./schemas.ts";
