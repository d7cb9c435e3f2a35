/** Gossip messages about members, and the intervals and limits of gossip. */
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

/** Interval between the gossip rounds of a VM. */
export const GOSSIP_INTERVAL: Millis = MILLIS_PER_SECOND;

/** Interval between the probes that a VM sends. */
export const PROBE_INTERVAL: Millis = 2 * MILLIS_PER_SECOND;

/** Maximum time to wait for the answer to a probe. */
export const PROBE_TIMEOUT: Millis = 700;

/** Interval between attempts to reach a member believed dead. */
export const RECONNECT_INTERVAL: Millis = 10 * MILLIS_PER_SECOND;

/** How long a dead member is kept, so that old updates do not add it again. */
export const DEAD_MEMBER_TTL: Millis = 10 * MILLIS_PER_MINUTE;

/** Maximum number of members asked to probe one that did not answer. */
export const INDIRECT_PROBES = 3;

/** Number of members that get pending updates per round besides the probed one. */
export const PUSH_FANOUT = 2;

/** Maximum size of the `updates` and of the `page` of a message, each as JSON. */
export const MAX_GOSSIP_BYTES: Bytes = 900;

/** Location and addresses of a member. */
export interface MemberPlace {
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly peerAddress: string;
  readonly callerAddress: string;
}

/** State of one member as sent in a message. */
export interface MemberUpdate {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly refutation: number;
  readonly state: MemberState;
  readonly documentVersion: number;
  /** Left out if the receiver most likely knows it. */
  readonly place?: MemberPlace;
}

/** A gossip message; the answer to one has the same form. */
export interface GossipMessage {
  /** State of the sender itself. */
  readonly from: MemberUpdate;
  /** Digest of the sender's view. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  /** Requests the page of members whose names follow this one. */
  readonly pageAfter?: VmId;
  /** The requested page, ordered by name; an empty page marks the end. */
  readonly page?: readonly MemberUpdate[];
}

/** Returns a member's state in a view as an update for peers. */
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

/** Returns the first updates that fit together into {@link MAX_GOSSIP_BYTES}. */
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
