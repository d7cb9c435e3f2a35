/**
 * The membership view: the state of all entry VMs as one VM knows it.
 *
 * Views of different VMs may differ at any time. They are used for efficiency
 * only: no safety property depends on two views being equal.
 */
import {
  computeHash,
  type DataCentreId,
  type Incarnation,
  type MonotonicTime,
  type RegionId,
  TrieMap,
  type VmId,
} from "../core/mod.ts";

/** Assumed state of an entry VM. */
export enum MemberState {
  Live = "live",
  /** It did not answer probes; it becomes dead unless it refutes this in time. */
  Suspect = "suspect",
  /** It is shutting down and gets no new work. */
  Leaving = "leaving",
  Dead = "dead",
}

/** An entry VM in a membership view. The state dump contains it as it is. */
export interface Member {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** `host:port` of the server for peers. */
  readonly peerAddress: string;
  /** `host:port` of the server for callers, used to forward requests. */
  readonly callerAddress: string;
  /** Version of the document in force there, as it last reported. */
  readonly documentVersion: number;
  /** When it was last heard from, by this VM's clock. */
  readonly heardAt: MonotonicTime;
}

/** Bookkeeping about a member that the gossip protocol needs. */
export interface MemberRecord {
  /**
   * Counter that the member raises to refute a wrong state; corresponds to the
   * incarnation number in SWIM.
   */
  readonly refutation: number;
  /** When its state last changed, by this VM's clock. */
  readonly changedAt: MonotonicTime;
  /** Number of messages that its last change was sent in. */
  readonly transmissions: number;
}

/** Immutable membership view of a VM. The VM itself is one of the members. */
export interface MembershipView {
  readonly self: VmId;
  readonly members: TrieMap<Member>;
  readonly records: TrieMap<MemberRecord>;
  /** Members whose last change is still to be sent to peers. */
  readonly pending: ReadonlySet<VmId>;
  /** Suspect and dead members, whose state ends after a timeout. */
  readonly expiring: ReadonlySet<VmId>;
  /** Digest of all members that are not dead. Equal views have equal digests. */
  readonly digest: number;
  /** Shuffled list of members, probed round-robin, and the next index in it. */
  readonly probeOrder: readonly VmId[];
  readonly probeCursor: number;
  /** Number of probe orders created so far; seeds the next shuffle. */
  readonly probeCycle: number;
  /** When `expireMembers` last ran. */
  readonly tickedAt: MonotonicTime;
  /** When this VM last sent a probe. */
  readonly probedAt: MonotonicTime;
  /** When this VM last tried to reach a member believed dead. */
  readonly reconnectAttemptedAt: MonotonicTime;
  /**
   * Set while this VM fetches a peer's view page by page: the last member
   * received, or an empty string before the first page.
   */
  readonly pageAfter?: VmId;
  /** A later incarnation of this VM that peers know of. */
  readonly replacedBy?: Incarnation;
}

/** Returns a view that contains only the VM itself. */
export function createMembershipView(self: Member): MembershipView {
  const empty: MembershipView = {
    self: self.vm,
    members: TrieMap.createEmpty(),
    records: TrieMap.createEmpty(),
    pending: new Set(),
    expiring: new Set(),
    digest: 0,
    probeOrder: [],
    probeCursor: 0,
    probeCycle: 0,
    tickedAt: self.heardAt,
    probedAt: Number.NEGATIVE_INFINITY,
    reconnectAttemptedAt: self.heardAt,
  };
  return putMember(empty, self, { refutation: 0, now: self.heardAt });
}

/**
 * Returns the view with a member added or replaced. The change is pending, that
 * is to be sent to peers, unless `isKnownToPeers` is true.
 */
export function putMember(
  view: MembershipView,
  member: Member,
  input: {
    readonly refutation: number;
    readonly now: MonotonicTime;
    /** True if peers have the change already, such as one read from the store. */
    readonly isKnownToPeers?: boolean;
  },
): MembershipView {
  const { refutation, now } = input;
  const record = { refutation, changedAt: now, transmissions: 0 };
  const digest = view.digest ^ computeMemberDigest(view, member.vm) ^
    computeDigest(member, refutation);
  const pending = new Set(view.pending);
  if (input.isKnownToPeers === true) pending.delete(member.vm);
  else pending.add(member.vm);
  const expiring = updateExpiring(view.expiring, member);
  return {
    ...view,
    members: view.members.add(member.vm, member),
    records: view.records.add(member.vm, record),
    pending,
    expiring,
    digest,
  };
}

/** Returns the view without the given member. */
export function removeMember(view: MembershipView, vm: VmId): MembershipView {
  const pending = new Set(view.pending);
  pending.delete(vm);
  const expiring = new Set(view.expiring);
  expiring.delete(vm);
  return {
    ...view,
    members: view.members.remove(vm),
    records: view.records.remove(vm),
    pending,
    expiring,
    digest: view.digest ^ computeMemberDigest(view, vm),
  };
}

/** Returns the VM itself as a member of its view. Throws if it is missing. */
export function readSelf(view: MembershipView): Member {
  const self = view.members.get(view.self);
  if (self === undefined) {
    throw new Error(
      `The view of ${view.self} lacks the VM itself. Create it with createMembershipView.`,
    );
  }
  return self;
}

/** Returns a member's refutation counter; 0 if the member is unknown. */
export function readRefutation(view: MembershipView, vm: VmId): number {
  return view.records.get(vm)?.refutation ?? 0;
}

function updateExpiring(
  expiring: ReadonlySet<VmId>,
  member: Member,
): ReadonlySet<VmId> {
  const expires = member.state === MemberState.Suspect ||
    member.state === MemberState.Dead;
  if (expires === expiring.has(member.vm)) return expiring;
  const changed = new Set(expiring);
  if (expires) changed.add(member.vm);
  else changed.delete(member.vm);
  return changed;
}

function computeMemberDigest(view: MembershipView, vm: VmId): number {
  const member = view.members.get(vm);
  return member === undefined
    ? 0
    : computeDigest(member, readRefutation(view, vm));
}

function computeDigest(member: Member, refutation: number): number {
  const { vm, incarnation, state } = member;
  if (state === MemberState.Dead) return 0;
  return computeHash(`${vm}|${incarnation}|${refutation}|${state}`);
}
