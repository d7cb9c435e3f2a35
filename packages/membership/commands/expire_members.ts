/** Applies the passing of time: suspicions become deaths, deaths are forgotten. */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import { DEAD_MEMBER_TTL, GOSSIP_INTERVAL } from "../gossip.ts";
import { computeSuspicionTimeout } from "../queries/compute_timeouts.ts";
import {
  type Member,
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
  removeMember,
} from "../view.ts";

/** A longer time between two calls means that this VM itself was paused. */
const MAX_TICK_INTERVAL: Millis = 3 * GOSSIP_INTERVAL;

/** Applies the time; call it once in each round, with a monotonic reading. */
export function expireMembers(
  view: MembershipView,
  input: { readonly now: MonotonicTime },
): MembershipView {
  const { now } = input;
  const pause = now - view.tickedAt;
  const ticked = { ...view, tickedAt: now };
  // After a pause of its own a VM has no ground to hold silence against others.
  if (pause > MAX_TICK_INTERVAL) return postponeExpiry(ticked, pause);
  const timeout = computeSuspicionTimeout(view.members.size);
  let next: MembershipView = ticked;
  for (const vm of view.expiring) {
    const member = view.members.get(vm);
    if (member === undefined) continue;
    const age = now - (view.records.get(member.vm)?.changedAt ?? now);
    if (member.state === MemberState.Suspect && age >= timeout) {
      next = markDead(next, member, now);
    } else if (member.state === MemberState.Dead && age >= DEAD_MEMBER_TTL) {
      next = removeMember(next, member.vm);
    }
  }
  return next;
}

function markDead(
  view: MembershipView,
  member: Member,
  now: MonotonicTime,
): MembershipView {
  const dead = { ...member, state: MemberState.Dead };
  const refutation = readRefutation(view, member.vm);
  return putMember(view, dead, { refutation, now });
}

/** Moves the start of every suspicion and death by the length of the pause. */
function postponeExpiry(view: MembershipView, pause: Millis): MembershipView {
  let { records } = view;
  for (const vm of view.expiring) {
    const record = records.get(vm);
    if (record === undefined) continue;
    const changedAt = record.changedAt + pause;
    records = records.add(vm, { ...record, changedAt });
  }
  return { ...view, records };
}
