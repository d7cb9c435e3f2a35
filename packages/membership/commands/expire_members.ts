/** Expires members: suspect members become dead, and dead members are removed. */
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

/** A longer interval between two calls means that this VM itself was paused. */
const MAX_TICK_INTERVAL: Millis = 3 * GOSSIP_INTERVAL;

/**
 * Marks suspect members as dead after the suspicion timeout and removes dead
 * members after their TTL. Call it once in each gossip round.
 */
export function expireMembers(
  view: MembershipView,
  input: { readonly now: MonotonicTime },
): MembershipView {
  const { now } = input;
  const pause = now - view.tickedAt;
  const ticked = { ...view, tickedAt: now };
  // While this VM was paused it could not receive refutations, so the pause must
  // not count towards the timeouts of other members.
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

/** Delays the expiry of all suspect and dead members by the pause. */
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
