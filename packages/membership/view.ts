/**
 * What one VM believes of the other entry VMs.
 *
 * Views may differ from VM to VM at any time. They serve efficiency: nothing
 * that must hold depends on two views being equal.
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

/** What is believed of one VM. */
export enum MemberState {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** One entry VM. */
export interface Member {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** `host:port` of the peer face. */
  readonly peerAddress: string;
  /** `host:port` of the caller face, for forwarded requests. */
  readonly callerAddress: string;
  /** Document version it last said to be in force. */
  readonly documentVersion: number;
  readonly heardAt: MonotonicTime;
}

/** What a view keeps about a member besides what others need. */
export interface MemberRecord {
  /** Raised by the member itself to contradict a suspicion. */
  readonly refutation: number;
  /** Since when it has been in its state, by this VM's clock. */
  readonly changedAt: MonotonicTime;
  /** Times that its last change was passed on. */
  readonly transmissions: number;
}

/** Immutable snapshot of a VM's view; the VM itself is among the members. */
export interface MembershipView {
  readonly self: VmId;
  readonly members: TrieMap<Member>;
  readonly records: TrieMap<MemberRecord>;
  /** Members whose last change is still to be passed on. */
  readonly pending: ReadonlySet<VmId>;
  /** Members that are suspect or dead, whose state ends with time. */
  readonly expiring: ReadonlySet<VmId>;
  /** Digest of all members that are not dead; equal views have equal digests. */
  readonly digest: number;
  /** Order in which members are probed, and the place in it. */
  readonly probeOrder: readonly VmId[];
  readonly probeCursor: number;
  /** Number of orders gone through; it seeds the next one. */
  readonly probeCycle: number;
  /** When the passing of time was last applied. */
  readonly tickedAt: MonotonicTime;
  readonly probedAt: MonotonicTime;
  readonly reconnectAttemptedAt: MonotonicTime;
  /** Last member of the page received while views are being compared. */
  readonly pageAfter?: VmId;
  /** A later life of this VM that others know of. */
  readonly replacedBy?: Incarnation;
}

/** Returns the view of a VM that knows only itself. */
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

/** Returns the view with a member as given, by default to be passed on. */
export function putMember(
  view: MembershipView,
  member: Member,
  input: {
    readonly refutation: number;
    readonly now: MonotonicTime;
    /** True for what others know already, such as rows of the table. */
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

/** Returns the view without a member. */
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

/** Returns the VM's own member. */
export function readSelf(view: MembershipView): Member {
  const self = view.members.get(view.self);
  if (self === undefined) {
    throw new Error(
      `The view of ${view.self} lacks the VM itself. Create it with createMembershipView.`,
    );
  }
  return self;
}

/** Returns how often a member has contradicted a suspicion. */
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
