/**
 * What one VM knows of the targets of its services. It is a snapshot: commands
 * return a new one.
 */
import type {
  BodyDigest,
  CustomerId,
  MonotonicTime,
  ServiceId,
  TargetConfig,
  TargetId,
} from "../core/mod.ts";

/** Whether a target is given new work. */
export enum TargetHealth {
  Healthy = "healthy",
  /** Said to be leaving; it keeps what it has and gets nothing new. */
  Leaving = "leaving",
  /** Taken out for a while because its attempts failed. */
  Ejected = "ejected",
}

/** What is known of one target. */
export interface TargetState {
  readonly config: TargetConfig;
  readonly health: TargetHealth;
  /** Attempts that this VM has open at it. */
  readonly inFlight: number;
  readonly knownSince: MonotonicTime;
}

/** Immutable snapshot of all targets and of admission. */
export interface RoutingState {
  readonly targets: ReadonlyMap<TargetId, TargetState>;
  readonly byService: ReadonlyMap<ServiceId, readonly TargetId[]>;
}

/** What routing needs to know of a request. */
export interface RoutedRequest {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  readonly digest: BodyDigest;
  /** Targets that attempts of this request have used. */
  readonly tried: readonly TargetId[];
}

/** Returns the state of a VM that knows no target. */
export function createRoutingState(): RoutingState {
  return { targets: new Map(), byService: new Map() };
}
