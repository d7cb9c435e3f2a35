/** Changes the state that a VM reports about itself. */
import type { MonotonicTime } from "../../core/mod.ts";
import {
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
  readSelf,
} from "../view.ts";

/** Marks the VM itself as leaving, so that peers send it no new work. */
export function recordLeaving(
  view: MembershipView,
  input: { readonly now: MonotonicTime },
): MembershipView {
  const self = readSelf(view);
  if (self.state === MemberState.Leaving) return view;
  const leaving = { ...self, state: MemberState.Leaving };
  const refutation = readRefutation(view, view.self) + 1;
  return putMember(view, leaving, { refutation, now: input.now });
}

/**
 * Records the version of the document in force on this VM. The VM sends it in
 * each of its own messages, but a change does not make a pending update that
 * peers would relay: 1,500 changes a day at 380 VMs would fill the messages.
 */
export function recordOwnDocumentVersion(
  view: MembershipView,
  documentVersion: number,
): MembershipView {
  const self = { ...readSelf(view), documentVersion };
  return { ...view, members: view.members.add(view.self, self) };
}
