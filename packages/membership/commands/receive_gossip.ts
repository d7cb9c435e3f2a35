/** Applies received gossip messages to the view. */
import type { MonotonicTime, VmId } from "../../core/mod.ts";
import type { GossipMessage, MemberUpdate } from "../gossip.ts";
import {
  type Member,
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
  readSelf,
} from "../view.ts";

/**
 * Precedence of states with the same incarnation and refutation; the higher one
 * wins. A leaving member may still become suspect, and a suspect member dead.
 */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.Live]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Suspect]: 2,
  [MemberState.Dead]: 3,
};

/** When an update was received, and whether peers have it already. */
export interface UpdateInput {
  readonly now: MonotonicTime;
  readonly isKnownToPeers?: boolean;
}

/** Applies a message or an answer, and records that its sender was heard from. */
export function receiveGossip(
  view: MembershipView,
  input: { readonly message: GossipMessage; readonly now: MonotonicTime },
): MembershipView {
  const { message, now } = input;
  let next = view;
  for (const update of message.updates) {
    next = applyUpdate(next, update, { now });
  }
  // Members of a page are known to peers; the sender has already sent its
  // pending updates separately.
  for (const update of message.page ?? []) {
    next = applyUpdate(next, update, { now, isKnownToPeers: true });
  }
  next = applyUpdate(next, message.from, { now });
  next = recordHeard(next, {
    vm: message.from.vm,
    documentVersion: message.from.documentVersion,
    now,
  });
  return updatePaging(next, message);
}

/** Records that a member answered or sent a message at the given time. */
export function recordHeard(
  view: MembershipView,
  input: {
    readonly vm: VmId;
    readonly documentVersion?: number;
    readonly now: MonotonicTime;
  },
): MembershipView {
  const member = view.members.get(input.vm);
  if (member === undefined || member.vm === view.self) return view;
  const documentVersion = input.documentVersion ?? member.documentVersion;
  const heard = { ...member, documentVersion, heardAt: input.now };
  return { ...view, members: view.members.add(member.vm, heard) };
}

/**
 * Applies an update of one member. It is ignored if the view has the same or a
 * newer state of the member.
 */
export function applyUpdate(
  view: MembershipView,
  update: MemberUpdate,
  input: UpdateInput,
): MembershipView {
  if (update.vm === view.self) return applyOwnUpdate(view, update, input.now);
  const known = view.members.get(update.vm);
  if (known === undefined) return addUnknown(view, update, input);
  if (!isNewer(view, known, update)) return view;
  const isNewIncarnation = known.incarnation !== update.incarnation;
  // A new incarnation may have new addresses, so an update without them cannot
  // be used.
  if (isNewIncarnation && update.place === undefined) return view;
  const { vm, incarnation, state, refutation } = update;
  const documentVersion = isNewIncarnation
    ? update.documentVersion
    : Math.max(known.documentVersion, update.documentVersion);
  const member: Member = {
    ...known,
    ...update.place,
    vm,
    incarnation,
    state,
    documentVersion,
  };
  return putMember(view, member, { refutation, ...input });
}

/**
 * Applies an update about this VM itself. A later incarnation is recorded as
 * its replacement, an earlier one is ignored. The VM refutes a wrong state, and
 * any refutation counter above its own, by raising its counter above the
 * received one; a wrong state with a lower counter is outdated and ignored.
 */
function applyOwnUpdate(
  view: MembershipView,
  update: MemberUpdate,
  now: MonotonicTime,
): MembershipView {
  const self = readSelf(view);
  if (update.incarnation > self.incarnation) {
    return { ...view, replacedBy: update.incarnation };
  }
  if (update.incarnation < self.incarnation) return view;
  const ownRefutation = readRefutation(view, self.vm);
  const contradictsOwnState = update.state !== self.state &&
    update.state !== MemberState.Live;
  const mustRefute = contradictsOwnState && update.refutation >= ownRefutation;
  if (update.refutation <= ownRefutation && !mustRefute) return view;
  return putMember(view, self, { refutation: update.refutation + 1, now });
}

/** Adds a new member, unless it is dead or the update has no addresses. */
function addUnknown(
  view: MembershipView,
  update: MemberUpdate,
  input: UpdateInput,
): MembershipView {
  const { place, refutation, ...rest } = update;
  if (place === undefined || update.state === MemberState.Dead) return view;
  const member: Member = { ...rest, ...place, heardAt: input.now };
  return putMember(view, member, { refutation, ...input });
}

/** Compares by incarnation, then refutation, then state precedence. */
function isNewer(
  view: MembershipView,
  known: Member,
  update: MemberUpdate,
): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  const refutation = readRefutation(view, known.vm);
  if (update.refutation !== refutation) return update.refutation > refutation;
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
}

/**
 * Starts, continues or ends fetching the peer's view page by page (anti-entropy)
 * according to a received message.
 */
function updatePaging(
  view: MembershipView,
  message: GossipMessage,
): MembershipView {
  const isSettled = view.pending.size === 0 && message.updates.length === 0;
  const last = message.page?.at(-1)?.vm;
  if (message.page !== undefined) {
    return last === undefined ? endPaging(view) : { ...view, pageAfter: last };
  }
  // If the digests differ although neither side has pending updates, gossip
  // alone will not reconcile the views, so the peer's view is fetched in pages.
  const differs = isSettled && message.digest !== view.digest;
  if (differs && view.pageAfter === undefined) {
    return { ...view, pageAfter: "" };
  }
  return view;
}

function endPaging(view: MembershipView): MembershipView {
  const { pageAfter: _, ...rest } = view;
  return rest;
}
