/** Changes what a VM says of itself. */
import type { MonotonicTime } from "../../core/mod.ts";
import {
  type MembershipView,
  MemberState,
  putMember,
  readRefutation,
  readSelf,
} from "../view.ts";

/** Says that the VM is leaving: it is given nothing new from then on. */
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
 * Records the document version in force on this VM. It goes out with every
 * message, and is not passed on by others: 1,500 changes a day at 380 VMs would
 * otherwise fill the messages.
 */
export function recordOwnDocumentVersion(
  view: MembershipView,
  documentVersion: number,
): MembershipView {
  const self = { ...readSelf(view), documentVersion };
  return { ...view, members: view.members.add(view.self, self) };
}
