/** Folds the platform's VM list and the heartbeat rows into the view. */
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

/** One VM of the platform's list. */
export interface ListedMember {
  readonly vm: VmId;
  readonly leaving: boolean;
}

/**
 * Applies the platform's list. It lags, so absence proves nothing about a VM
 * that answers; a dead one that is absent as well is forgotten.
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
 * Applies heartbeat rows, as a VM does that starts or knows nobody. A row says
 * where a VM was when it wrote it, not that it lives: probes find that out.
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
