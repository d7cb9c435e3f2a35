/** What one VM believes of the other entry VMs. */
import type {
  DataCentreId,
  Incarnation,
  MonotonicTime,
  RegionId,
  VmId,
} from "../core/mod.ts";

/** What is believed of one VM. */
export enum MemberState {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** One entry VM. */
export interface Member {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** `host:port` of the peer face. */
  readonly peerAddress: string;
  /** `host:port` of the caller face, for forwarded requests. */
  readonly callerAddress: string;
  /** Document version it last said to be in force. */
  readonly documentVersion: number;
  readonly heardAt: MonotonicTime;
}

/** Immutable snapshot of a VM's view; the VM itself is among the members. */
export interface MembershipView {
  readonly self: VmId;
  readonly members: ReadonlyMap<VmId, Member>;
}

/** Returns the view of a VM that knows only itself. */
export function createMembershipView(self: Member): MembershipView {
  return { self: self.vm, members: new Map([[self.vm, self]]) };
}
