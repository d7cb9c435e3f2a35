/** Entry VMs: who is live, suspect or leaving, and which is an event's home. */
export type { ListedMember } from "./commands/apply_lists.ts";
export { applyHeartbeatRows, applyVmList } from "./commands/apply_lists.ts";
export {
  recordLeaving,
  recordOwnDocumentVersion,
} from "./commands/change_self.ts";
export { expireMembers } from "./commands/expire_members.ts";
export { receiveGossip, recordHeard } from "./commands/receive_gossip.ts";
export {
  recordGossipSent,
  recordProbeFailed,
  recordReplySent,
} from "./commands/record_probe.ts";
export type { GossipMessage, MemberPlace, MemberUpdate } from "./gossip.ts";
export {
  GOSSIP_INTERVAL,
  INDIRECT_PROBES,
  MAX_GOSSIP_BYTES,
  PROBE_INTERVAL,
  PROBE_TIMEOUT,
} from "./gossip.ts";
export { parseGossip } from "./parse_gossip.ts";
export { chooseHomes } from "./queries/choose_homes.ts";
export {
  computeSuspicionTimeout,
  computeTransmissions,
} from "./queries/compute_timeouts.ts";
export type { GossipContact } from "./queries/plan_gossip.ts";
export {
  GossipPurpose,
  isReplaced,
  planGossip,
  planIndirectProbes,
  planReply,
} from "./queries/plan_gossip.ts";
export type { HeartbeatResult, HeartbeatRow } from "./rows/heartbeat.ts";
export {
  computeIncarnation,
  createDropHeartbeat,
  createHeartbeat,
  HEARTBEAT_INTERVAL,
  HEARTBEAT_PREFIX,
  listHeartbeatUpdates,
  parseHeartbeat,
} from "./rows/heartbeat.ts";
export type { Member, MembershipView } from "./view.ts";
export { createMembershipView, MemberState } from "./view.ts";
