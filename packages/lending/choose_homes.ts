/**
 * Chooses the home VMs of a customer: the VMs of each region that hold its
 * tokens. In a small region these are all VMs. In a large one they are a few
 * that lend to the others, so that the number of writers of a budget row and
 * the number of idle tokens don't grow with the number of VMs.
 */
import { rankMembers, type VmId, type VmWithRegion } from "../core/mod.ts";

/** Maximum number of VMs of a region that are all home VMs. */
export const MAX_SMALL_REGION = 5;

/**
 * Number of home VMs of a customer in a larger region. Each is a writer of the
 * budget row, and while requests wait at all of them, writers far from the store
 * get through only if there are few. If both are lost, the other VMs of the
 * region ask the store and the home VMs of other regions.
 */
export const HOMES_PER_REGION = 2;

/**
 * Returns the home VMs of a customer in the order in which one VM asks them for
 * loans. Those of its own region come first. Those of other regions follow,
 * since one region may hold all tokens that are left. Each VM has its own
 * order, so that all home VMs are asked equally often.
 */
export function chooseHomes(
  customer: string,
  input: {
    readonly self: VmWithRegion;
    readonly others: readonly VmWithRegion[];
  },
): VmId[] {
  const { self, others } = input;
  const vms = [self, ...others];
  const regions = new Set(vms.map((each) => each.region));
  regions.delete(self.region);
  return [self.region, ...regions].flatMap((region) => {
    const local = vms.filter((each) => each.region === region)
      .map((each) => each.vm);
    const homes = local.length <= MAX_SMALL_REGION
      ? local
      : rankMembers(customer, local.toSorted()).slice(0, HOMES_PER_REGION);
    return rankMembers(`${customer}/${self.vm}`, homes);
  });
}
