/** Applies the platform's VM list and the heartbeat rows to the view. */
import type { MonotonicTime, VmId } from "../../core/mod.ts";
import type { MemberUpdate } from "../gossip.ts";
import {
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
  removeMember,
} from "../view.ts";
import { applyUpdate } from "./receive_gossip.ts";

/** One VM in the platform's list. */
export interface ListedMember {
  readonly vm: VmId;
  readonly leaving: boolean;
}

/**
 * Applies the platform's VM list: live members that are listed as leaving
 * become leaving, and dead members that are not listed are removed. The list
 * lags behind, so a member that still answers stays even if it is not listed.
 */
export function applyVmList(
  view: MembershipView,
  input: {
    readonly listed: readonly ListedMember[];
    readonly now: MonotonicTime;
  },
): MembershipView {
  const listed = new Map(input.listed.map((each) => [each.vm, each]));
  let next = view;
  for (const member of view.members.values()) {
    if (member.vm === view.self) continue;
    const found = listed.get(member.vm);
    if (found === undefined && member.state === MemberState.Dead) {
      next = removeMember(next, member.vm);
    }
    if (found?.leaving !== true || member.state !== MemberState.Live) continue;
    const leaving = { ...member, state: MemberState.Leaving };
    const refutation = readRefutation(next, member.vm);
    next = putMember(next, leaving, { refutation, now: input.now });
  }
  return next;
}

/**
 * Applies heartbeat rows. A VM does so when it starts or knows no other member.
 * A row gives a VM's addresses at the time it was written, but does not show
 * that the VM is still live; probes detect that.
 */
export function applyHeartbeatRows(
  view: MembershipView,
  input: {
    readonly updates: readonly MemberUpdate[];
    readonly now: MonotonicTime;
  },
): MembershipView {
  return input.updates
    .filter((update) => update.vm !== view.self)
    .reduce(
      (next, update) =>
        applyUpdate(next, update, { now: input.now, isKnownToPeers: true }),
      view,
    );
}
