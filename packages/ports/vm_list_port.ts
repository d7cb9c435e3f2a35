/** The platform's lagging list of VMs that are live or leaving. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../core/mod.ts";

/** What the platform says of a VM. A VM that is gone is not listed. */
export enum ListedVmState {
  Live = "live",
  Leaving = "leaving",
}

/** One VM of the list: an entry VM or a target VM. */
export interface ListedVm {
  readonly id: string;
  /** `host:port` without scheme. */
  readonly address: string;
  readonly state: ListedVmState;
}

/** Reads the list. */
export interface VmListPort {
  list(): Promise<Either<PlatformError, readonly ListedVm[]>>;
}
