/** Records the messages that this VM sent and its probes that failed. */
import { computeHash, type MonotonicTime, type VmId } from "../../core/mod.ts";
import type { GossipMessage } from "../gossip.ts";
import { computeTransmissions } from "../queries/compute_timeouts.ts";
import { type GossipContact, GossipPurpose } from "../queries/plan_gossip.ts";
import {
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
} from "../view.ts";

/** Records that the planned messages of a gossip round are being sent. */
export function recordGossipSent(
  view: MembershipView,
  input: {
    readonly contacts: readonly GossipContact[];
    readonly now: MonotonicTime;
  },
): MembershipView {
  const { contacts, now } = input;
  let next = view;
  for (const { message, purpose } of contacts) {
    next = recordTransmissions(next, message);
    if (purpose === GossipPurpose.Reconnect) {
      next = { ...next, reconnectAttemptedAt: now };
    }
    if (purpose !== GossipPurpose.Probe) continue;
    next = advanceProbeOrder({ ...next, probedAt: now });
  }
  return next.probeOrder.length === 0 ? advanceProbeOrder(next) : next;
}

/** Records that a planned answer is being sent. */
export function recordReplySent(
  view: MembershipView,
  message: GossipMessage,
): MembershipView {
  return recordTransmissions(view, message);
}

/**
 * Marks a member as suspect that answered neither this VM's probe nor the
 * indirect probes of other members.
 */
export function recordProbeFailed(
  view: MembershipView,
  input: { readonly vm: VmId; readonly now: MonotonicTime },
): MembershipView {
  const member = view.members.get(input.vm);
  if (member === undefined) return view;
  const isAlive = member.state === MemberState.Live ||
    member.state === MemberState.Leaving;
  if (!isAlive) return view;
  const suspect = { ...member, state: MemberState.Suspect };
  const refutation = readRefutation(view, member.vm);
  return putMember(view, suspect, { refutation, now: input.now });
}

/**
 * Counts one more transmission for each member in a message. A member whose
 * change was sent often enough is no longer pending.
 */
function recordTransmissions(
  view: MembershipView,
  message: GossipMessage,
): MembershipView {
  if (view.pending.size === 0) return view;
  const maxTransmissions = computeTransmissions(view.members.size);
  const pending = new Set(view.pending);
  let { records } = view;
  for (const { vm } of [message.from, ...message.updates]) {
    if (!pending.has(vm)) continue;
    const record = records.get(vm);
    if (record === undefined) continue;
    const transmissions = record.transmissions + 1;
    records = records.add(vm, { ...record, transmissions });
    if (transmissions >= maxTransmissions) pending.delete(vm);
  }
  return { ...view, records, pending };
}

/**
 * Moves on to the next member in the probe order. At the end of the order, a
 * new one is shuffled from all members that are not dead.
 */
function advanceProbeOrder(view: MembershipView): MembershipView {
  const probeCursor = view.probeCursor + 1;
  if (probeCursor < view.probeOrder.length) return { ...view, probeCursor };
  const probeCycle = view.probeCycle + 1;
  const salt = `${view.self}/${probeCycle}`;
  const probeOrder = [...view.members.values()]
    .filter(({ vm, state }) => vm !== view.self && state !== MemberState.Dead)
    .map(({ vm }) => ({ vm, rank: computeHash(salt + vm) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ vm }) => vm);
  return { ...view, probeOrder, probeCursor: 0, probeCycle };
}
