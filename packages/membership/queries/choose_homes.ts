/**
 * Home VMs of an event: the VMs of a region that its requests are forwarded to.
 * Handling them on few VMs needs fewer grants and lets duplicates join one run;
 * safety never depends on it.
 */
import type { EventId, RegionId, VmId } from "../../core/mod.ts";
import type { MembershipView } from "../view.ts";
import { findHomes } from "./home_index.ts";

/**
 * Returns at most `homes` home VMs of an event in a region, those with the
 * highest score first.
 */
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
