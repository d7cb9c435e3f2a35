/** What VMs tell each other of members, and how large it may grow. */
import {
  type Bytes,
  type DataCentreId,
  type Incarnation,
  type Millis,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
  type RegionId,
  type VmId,
} from "../core/mod.ts";
import {
  type Member,
  type MembershipView,
  type MemberState,
  readRefutation,
} from "./view.ts";

/** Time between two rounds of gossip of one VM. */
export const GOSSIP_INTERVAL: Millis = MILLIS_PER_SECOND;

/** Time between two probes of one VM. */
export const PROBE_INTERVAL: Millis = 2 * MILLIS_PER_SECOND;

/** Longest wait for the answer to a probe. */
export const PROBE_TIMEOUT: Millis = 700;

/** Time between two attempts to reach a member that is believed dead. */
export const RECONNECT_INTERVAL: Millis = 10 * MILLIS_PER_SECOND;

/** How long a dead member is remembered, so that old news does not revive it. */
export const DEAD_MEMBER_TTL: Millis = 10 * MILLIS_PER_MINUTE;

/** Members that are asked to probe one that did not answer. */
export const INDIRECT_PROBES = 3;

/** Members that news is sent to in a round besides the one that is probed. */
export const PUSH_FANOUT = 2;

/** Largest updates part or page part of one message, as JSON. */
export const MAX_GOSSIP_BYTES: Bytes = 900;

/** Where a member is reached. */
export interface MemberPlace {
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly peerAddress: string;
  readonly callerAddress: string;
}

/** News of one member. */
export interface MemberUpdate {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly refutation: number;
  readonly state: MemberState;
  readonly documentVersion: number;
  /** Left out where the receiver most likely knows it. */
  readonly place?: MemberPlace;
}

/** One message, and the answer to one. */
export interface GossipMessage {
  readonly from: MemberUpdate;
  /** Digest of the sender's view. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  /** Asks for the members after this one, in the order of their names. */
  readonly pageAfter?: VmId;
  /** Answers such a question; an empty page is the end. */
  readonly page?: readonly MemberUpdate[];
}

/** Returns the news of a member as a view has it. */
export function createUpdate(
  view: MembershipView,
  member: Member,
  options: { readonly withPlace: boolean },
): MemberUpdate {
  const { vm, incarnation, state, documentVersion } = member;
  const refutation = readRefutation(view, vm);
  const update = { vm, incarnation, refutation, state, documentVersion };
  return options.withPlace ? { ...update, place: createPlace(member) } : update;
}

/** Returns the updates that fit into a part of a message. */
export function filterFitting(
  updates: Iterable<MemberUpdate>,
): MemberUpdate[] {
  const fitting: MemberUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    bytes += JSON.stringify(update).length + 1;
    if (bytes > MAX_GOSSIP_BYTES) break;
    fitting.push(update);
  }
  return fitting;
}

function createPlace(member: Member): MemberPlace {
  const { region, dataCentre, peerAddress, callerAddress } = member;
  return { region, dataCentre, peerAddress, callerAddress };
}
