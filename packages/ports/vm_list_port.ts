/** Port of the platform's list of running VMs, which may be out of date. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../core/mod.ts";

/** State of a VM in the list. VMs that have shut down are not listed. */
export enum ListedVmState {
  Live = "live",
  Leaving = "leaving",
}

/** A listed VM: an entry VM or a target VM. */
export interface ListedVm {
  readonly id: string;
  /** `host:port` without a scheme. */
  readonly address: string;
  readonly state: ListedVmState;
}

/** Reads the platform's VM list. */
export interface VmListPort {
  list(): Promise<Either<PlatformError, readonly ListedVm[]>>;
}
