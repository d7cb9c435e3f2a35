/** Plans the members that a VM contacts in a gossip round, and the messages. */
import type { MonotonicTime, RandomSource, VmId } from "../../core/mod.ts";
import {
  createUpdate,
  filterFitting,
  type GossipMessage,
  INDIRECT_PROBES,
  type MemberUpdate,
  PROBE_INTERVAL,
  PUSH_FANOUT,
  RECONNECT_INTERVAL,
} from "../gossip.ts";
import {
  type Member,
  type MembershipView,
  MemberState,
  readSelf,
} from "../view.ts";

/** Why a member is contacted. */
export enum GossipPurpose {
  /** To check that it answers; if not, indirect probes follow. */
  Probe = "probe",
  /** To send pending updates. */
  Push = "push",
  /** To check whether a member believed dead can be reached again. */
  Reconnect = "revive",
}

/** A member to contact in a round, and the message for it. */
export interface GossipContact {
  readonly vm: VmId;
  readonly address: string;
  readonly purpose: GossipPurpose;
  readonly message: GossipMessage;
}

/** Maximum number of random draws to find one live member. */
const MAX_SAMPLES = 8;

/**
 * Returns the contacts of a round: at most one probe, {@link PUSH_FANOUT} pushes
 * and one reconnect attempt, whatever the number of members.
 */
export function planGossip(
  view: MembershipView,
  input: { readonly now: MonotonicTime; readonly random: RandomSource },
): readonly GossipContact[] {
  const { now, random } = input;
  const pendingMembers = listPendingMembers(view);
  const contacts: GossipContact[] = [];
  const addContact = (member: Member | undefined, purpose: GossipPurpose) => {
    if (member === undefined) return;
    if (contacts.some((contact) => contact.vm === member.vm)) return;
    const { vm, peerAddress: address } = member;
    const message = createMessage(view, member, pendingMembers);
    contacts.push({ vm, address, purpose, message });
  };
  if (now - view.probedAt >= PROBE_INTERVAL) {
    addContact(findMemberToProbe(view), GossipPurpose.Probe);
  }
  if (view.pending.size > 0) {
    for (let push = 0; push < PUSH_FANOUT; push++) {
      addContact(sampleLiveMember(view, random), GossipPurpose.Push);
    }
  }
  if (now - view.reconnectAttemptedAt >= RECONNECT_INTERVAL) {
    addContact(sampleDeadMember(view, random), GossipPurpose.Reconnect);
  }
  return contacts;
}

/** Returns the answer to a message that was already applied to the view. */
export function planReply(
  view: MembershipView,
  received: GossipMessage,
): GossipMessage {
  const member = view.members.get(received.from.vm);
  const { pageAfter: _, ...message } = createMessage(
    view,
    member,
    listPendingMembers(view),
  );
  if (received.pageAfter === undefined) return message;
  return { ...message, page: listPage(view, received.pageAfter) };
}

/**
 * Returns up to {@link INDIRECT_PROBES} random members to ask for a probe of one
 * that did not answer.
 */
export function planIndirectProbes(
  view: MembershipView,
  input: { readonly vm: VmId; readonly random: RandomSource },
): readonly Member[] {
  const helpers = new Map<VmId, Member>();
  for (let sample = 0; sample < INDIRECT_PROBES * 2; sample++) {
    const member = sampleLiveMember(view, input.random);
    if (member === undefined || member.vm === input.vm) continue;
    helpers.set(member.vm, member);
    if (helpers.size >= INDIRECT_PROBES) break;
  }
  return [...helpers.values()];
}

/** Returns whether peers know of a later incarnation of this VM. */
export function isReplaced(view: MembershipView): boolean {
  return view.replacedBy !== undefined;
}

function createMessage(
  view: MembershipView,
  to: Member | undefined,
  pendingMembers: readonly Member[],
): GossipMessage {
  const message = {
    from: createUpdate(view, readSelf(view), { withPlace: true }),
    digest: view.digest,
    updates: filterFitting(createUpdates(view, to, pendingMembers)),
  };
  return view.pageAfter === undefined
    ? message
    : { ...message, pageAfter: view.pageAfter };
}

/** Returns the members with pending updates, those sent least often first. */
function listPendingMembers(view: MembershipView): Member[] {
  return [...view.pending]
    .filter((vm) => vm !== view.self)
    .map((vm) => ({
      member: view.members.get(vm)!,
      transmissions: readTransmissions(view, vm),
    }))
    .sort((left, right) => left.transmissions - right.transmissions)
    .map(({ member }) => member);
}

/** Yields the updates of a message lazily: only those that fit are created. */
function* createUpdates(
  view: MembershipView,
  to: Member | undefined,
  pendingMembers: readonly Member[],
): Generator<MemberUpdate> {
  // If the view has the receiver as not live, the message includes that state,
  // so that the receiver can refute it.
  if (to !== undefined && to.state !== MemberState.Live) {
    yield createUpdate(view, to, { withPlace: false });
  }
  for (const member of pendingMembers) {
    if (member.vm === to?.vm) continue;
    const withPlace = member.state === MemberState.Live;
    yield createUpdate(view, member, { withPlace });
  }
}

function readTransmissions(view: MembershipView, vm: VmId): number {
  return view.records.get(vm)?.transmissions ?? 0;
}

/** Returns the next member in the probe order that is not dead. */
function findMemberToProbe(view: MembershipView): Member | undefined {
  for (let step = 0; step < view.probeOrder.length; step++) {
    const at = (view.probeCursor + step) % view.probeOrder.length;
    const member = view.members.get(view.probeOrder[at]!);
    if (member !== undefined && member.state !== MemberState.Dead) {
      return member;
    }
  }
  return undefined;
}

/** Returns a random live member; undefined if none is found in a few draws. */
function sampleLiveMember(
  view: MembershipView,
  random: RandomSource,
): Member | undefined {
  for (let sample = 0; sample < MAX_SAMPLES; sample++) {
    const at = Math.floor(random() * view.probeOrder.length);
    const member = view.members.get(view.probeOrder[at] ?? "");
    if (member?.state === MemberState.Live) return member;
  }
  return undefined;
}

/** Draws one expiring member at random and returns it if it is dead. */
function sampleDeadMember(
  view: MembershipView,
  random: RandomSource,
): Member | undefined {
  const expiring = [...view.expiring];
  const vm = expiring[Math.floor(random() * expiring.length)];
  const member = vm === undefined ? undefined : view.members.get(vm);
  return member?.state === MemberState.Dead ? member : undefined;
}

/** Returns the first page of members whose names follow `after`, by name. */
function listPage(view: MembershipView, after: VmId): MemberUpdate[] {
  const members = [...view.members.values()]
    .filter(({ vm, state }) => vm > after && state !== MemberState.Dead)
    .sort((left, right) => left.vm < right.vm ? -1 : 1);
  return filterFitting(function* () {
    for (const member of members) {
      yield createUpdate(view, member, { withPlace: true });
    }
  }());
}
