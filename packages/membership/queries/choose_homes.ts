/**
 * Homes of an event: the VMs of a region at which its requests meet. A home
 * saves grants and joins duplicates; safety never depends on it.
 */
import {
  type EventId,
  rankMembers,
  type RegionId,
  type VmId,
} from "../../core/mod.ts";
import { type MembershipView, MemberState } from "../view.ts";

/** Returns the home VMs of an event in a region, best first. */
export function chooseHomes(
  view: MembershipView,
  input: {
    readonly eventId: EventId;
    readonly region: RegionId;
    readonly homes: number;
  },
): VmId[] {
  const usable = [...view.members.values()]
    .filter((member) => member.region === input.region)
    .filter((member) => member.state === MemberState.Live)
    .map((member) => member.vm);
  return rankMembers(input.eventId, usable).slice(0, input.homes);
}
