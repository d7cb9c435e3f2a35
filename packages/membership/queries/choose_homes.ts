/**
 * Homes of an event: the VMs of a region at which its requests meet. A home
 * saves grants and joins duplicates; safety never depends on it.
 */
import type { EventId, RegionId, VmId } from "../../core/mod.ts";
import type { MembershipView } from "../view.ts";
import { findHomes } from "./home_index.ts";

/** Returns the home VMs of an event in a region, best first. */
export function chooseHomes(
  view: MembershipView,
  input: {
    readonly eventId: EventId;
    readonly region: RegionId;
    readonly homes: number;
  },
): readonly VmId[] {
  return findHomes(view, input);
}
