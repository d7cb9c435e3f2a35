/** Connects the administration API to the features of this daemon. */
import type { AdminPorts } from "../../admin/mod.ts";
import { type LossEvidence, LossEvidenceKind } from "../../budget/mod.ts";
import {
  type Incarnation,
  type Millis,
  MILLIS_PER_MINUTE,
  type PlatformError,
  type VmId,
} from "../../core/mod.ts";
import { type Either, Right } from "purify-ts";
import {
  HEARTBEAT_PREFIX,
  listHeartbeatUpdates,
} from "../../membership/mod.ts";
import type { DocumentFollower } from "../features/document_follower.ts";
import type { Membership } from "../features/membership.ts";
import type { Traffic } from "../features/traffic.ts";
import type { NodeContext } from "../node_context.ts";

/** Maximum time that an operator's request waits for the store. */
const OPERATION_TIMEOUT: Millis = 10_000;

/** How long a VM must be missing from the platform's list to count as lost. */
const UNLISTED_REQUIRED: Millis = 10 * MILLIS_PER_MINUTE;

/** Features that the ports use. */
export interface AdminFeatures {
  readonly follower: DocumentFollower;
  readonly membership: Membership;
  readonly traffic: Traffic;
}

/** Returns the ports of the administration API. */
export function createAdminPorts(
  context: NodeContext,
  features: AdminFeatures,
): AdminPorts {
  const { follower, membership, traffic } = features;
  const { writer, clock, table } = context;
  return {
    reader: table,
    run: (operation) =>
      writer.run(operation, {
        giveUpAt: clock.readMonotonic() + OPERATION_TIMEOUT,
      }),
    readDocument: () => follower.readState(),
    applyDocument: (state, change) => follower.apply(state, change),
    readView: () => membership.readView(),
    listQuarantine: () => traffic.listQuarantine(),
    releaseQuarantine: (digest) => void traffic.releaseQuarantine(digest),
    findLossEvidence: (vm, incarnation) =>
      findLossEvidence(context, { membership, vm, incarnation }),
    readWallTime: () => clock.readWall(),
  };
}

/**
 * Returns evidence that an incarnation of a VM has ended: a heartbeat of a later
 * incarnation, or how long the VM has been missing from the platform's list.
 */
async function findLossEvidence(
  context: NodeContext,
  input: {
    readonly membership: Membership;
    readonly vm: VmId;
    readonly incarnation: Incarnation;
  },
): Promise<Either<PlatformError, LossEvidence | undefined>> {
  const { membership, vm, incarnation } = input;
  const read = await context.table.read([`${HEARTBEAT_PREFIX}${vm}`]);
  return read.chain((rows): Either<PlatformError, LossEvidence | undefined> => {
    const [latest] = listHeartbeatUpdates(rows);
    if (latest !== undefined && latest.incarnation > incarnation) {
      return Right({
        kind: LossEvidenceKind.LaterIncarnation,
        vm,
        incarnation: latest.incarnation,
      });
    }
    const unlistedFor = membership.readUnlistedFor(vm);
    if (unlistedFor === undefined) return Right(undefined);
    return Right({
      kind: LossEvidenceKind.Unlisted,
      vm,
      incarnation,
      unlistedFor,
      required: UNLISTED_REQUIRED,
    });
  });
}
