/** Records what this VM sent, and which of its probes found no answer. */
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

/** Records a round of gossip as it was planned, once it is on its way. */
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
    if (purpose === GossipPurpose.Revive) next = { ...next, revivedAt: now };
    if (purpose !== GossipPurpose.Probe) continue;
    next = advanceOrder({ ...next, probedAt: now });
  }
  return next.order.length === 0 ? advanceOrder(next) : next;
}

/** Records an answer as it was planned. */
export function recordReplySent(
  view: MembershipView,
  message: GossipMessage,
): MembershipView {
  return recordTransmissions(view, message);
}

/** Suspects a member that neither answered this VM nor those it asked. */
export function recordProbeFailed(
  view: MembershipView,
  input: { readonly vm: VmId; readonly now: MonotonicTime },
): MembershipView {
  const member = view.members.get(input.vm);
  if (member === undefined) return view;
  const believed = member.state === MemberState.Live ||
    member.state === MemberState.Leaving;
  if (!believed) return view;
  const suspect = { ...member, state: MemberState.Suspect };
  const refutation = readRefutation(view, member.vm);
  return putMember(view, suspect, { refutation, now: input.now });
}

function recordTransmissions(
  view: MembershipView,
  message: GossipMessage,
): MembershipView {
  if (view.pending.size === 0) return view;
  const most = computeTransmissions(view.members.size);
  const pending = new Set(view.pending);
  let { records } = view;
  for (const { vm } of [message.from, ...message.updates]) {
    if (!pending.has(vm)) continue;
    const record = records.get(vm);
    if (record === undefined) continue;
    const transmissions = record.transmissions + 1;
    records = records.add(vm, { ...record, transmissions });
    if (transmissions >= most) pending.delete(vm);
  }
  return { ...view, records, pending };
}

/** Moves on in the order of probes and makes a new one at its end. */
function advanceOrder(view: MembershipView): MembershipView {
  const cursor = view.cursor + 1;
  if (cursor < view.order.length) return { ...view, cursor };
  const cycle = view.cycle + 1;
  const salt = `${view.self}/${cycle}`;
  const order = [...view.members.values()]
    .filter(({ vm, state }) => vm !== view.self && state !== MemberState.Dead)
    .map(({ vm }) => ({ vm, rank: computeHash(salt + vm) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ vm }) => vm);
  return { ...view, order, cursor: 0, cycle };
}
