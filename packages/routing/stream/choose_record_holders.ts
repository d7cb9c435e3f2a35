/**
 * Chooses the VMs that keep the record of a stream besides the VM that began
 * it. All VMs choose alike by the stream's id, so that the VM at which a caller
 * takes the stream up again knows whom to ask, and the number of messages for a
 * stream doesn't grow with the number of VMs.
 */
import {
  rankMembers,
  type RegionId,
  type VmId,
  type VmWithRegion,
} from "../../core/mod.ts";

/** Number of VMs that keep a record besides the one that made it. */
export const RECORD_HOLDERS = 2;

/**
 * Number of VMs that are asked in the caller's region: the holders, the VM that
 * began the stream if it ranks among them, and one more for VMs that know
 * different lists of VMs.
 */
export const ASKED_NEARBY = RECORD_HOLDERS + 2;

/**
 * Returns the VMs to which the VM that began a stream sends its record. They
 * are in its region, where its callers usually come back.
 */
export function chooseRecordHolders(
  stream: string,
  input: {
    readonly self: VmWithRegion;
    readonly others: readonly VmWithRegion[];
  },
): VmId[] {
  return rankRegion(stream, { ...input, region: input.self.region })
    .slice(0, RECORD_HOLDERS);
}

/**
 * Returns the VMs to ask for the record of a stream: those of the own region,
 * and the first holders of each other, since callers whose VMs are all down are
 * sent to another region.
 */
export function chooseVmsToAsk(
  stream: string,
  input: {
    readonly self: VmWithRegion;
    readonly others: readonly VmWithRegion[];
  },
): VmId[] {
  const { self, others } = input;
  const regions = new Set(others.map((each) => each.region));
  return [...regions].flatMap((region) =>
    rankRegion(stream, { ...input, region })
      .slice(0, region === self.region ? ASKED_NEARBY : RECORD_HOLDERS)
  );
}

/** Returns the other VMs of a region, in the order for a stream. */
function rankRegion(
  stream: string,
  input: {
    readonly others: readonly VmWithRegion[];
    readonly region: RegionId | undefined;
  },
): VmId[] {
  const vms = input.others.filter((each) => each.region === input.region);
  return rankMembers(stream, vms.map((each) => each.vm));
}
