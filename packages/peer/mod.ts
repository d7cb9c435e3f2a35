/** tRPC client, router and message schemas for calls between entry VMs. */
export type { PeerClientOptions } from "./peer_client.ts";
export { PeerClient } from "./peer_client.ts";
export type {
  GatewayPeerHandlers,
  PeerHandlers,
  PeerRouter,
} from "./peer_router.ts";
export {
  createGatewayRouter,
  createPeerHandler,
  createPeerRouter,
  isPeerKey,
} from "./peer_router.ts";
export type {
  PeerBills,
  PeerConfigurationAnswer,
  PeerConfigurationQuery,
  PeerGossip,
  PeerLoanAnswer,
  PeerLoanRequest,
  PeerRows,
  PeerStreamAnswer,
  PeerStreamQuery,
  PeerStreamRecords,
} from "./schemas.ts";
export { MAX_STREAM_RECORDS } from "./schemas.ts";
