/** Entry VMs: who is live, suspect or leaving, and which is an event's home. */
export { chooseHomes } from "./queries/choose_homes.ts";
export type { Member, MembershipView } from "./view.ts";
export { createMembershipView, MemberState } from "./view.ts";
