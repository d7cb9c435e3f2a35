/**
 * Routing state: what one VM knows of the targets of its services.
 *
 * Only the commands of this package change the tables. The kernel's handlers run
 * them one at a time, and each returns the state that it was given. The tables
 * are mutable, because copying a thousand targets for every attempt would cost
 * more than the attempt. The records in them are immutable.
 */
import {
  type BodyDigest,
  type Bytes,
  type CustomerId,
  type DataCentreId,
  Priority,
  type RegionId,
  type ServiceConfig,
  type ServiceId,
  type TargetId,
  type Tokens,
} from "../core/mod.ts";
import { LinkTable } from "./link_table.ts";
import { type PrefixDigest, PrefixTable } from "./prefix_table.ts";
import { TargetTable } from "./target_table.ts";

/** The targets, prefixes, links and services known to one VM. */
export interface RoutingState {
  /** This VM's region; if absent, all regions are treated alike. */
  region?: RegionId;
  readonly targets: TargetTable;
  /** Data centres whose targets get no requests; absent if there are none. */
  evacuated?: ReadonlySet<DataCentreId>;
  readonly prefixes: PrefixTable;
  readonly links: LinkTable;
  readonly services: Map<ServiceId, ServiceConfig>;
  /** Number of live entry VMs in this region, including this one. */
  readonly vms: { count: number };
}

/** The properties of a request on which routing decides. */
export interface RoutedRequest {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  readonly digest: BodyDigest;
  /** Targets already used by attempts of this request; they are excluded. */
  readonly tried: readonly TargetId[];
  /**
   * Further targets to exclude, such as those that run requests suspected of
   * crashes.
   */
  readonly avoided?: readonly TargetId[];
  /** Priority of the request; standard if absent. */
  readonly priority?: Priority;
  /** Models, with version, and adapters that the target must have loaded. */
  readonly models?: readonly string[];
  /** Digests of the prompt's prefixes, the shortest first. */
  readonly prefixes?: readonly PrefixDigest[];
  /** Tokens of the prompt if known; absent for plain services. */
  readonly promptTokens?: Tokens;
  /** Tokens of the longest prefix, which a holder need not prefill again. */
  readonly prefixTokens?: Tokens;
  /** Expected size of the request and its answer. */
  readonly expectedBytes?: Bytes;
}

/** Priority of a routed request that names none. */
export const DEFAULT_PRIORITY = Priority.Standard;

/** Returns the routing state of a VM that knows no target yet. */
export function createRoutingState(
  options: { readonly region?: RegionId } = {},
): RoutingState {
  return {
    ...options,
    targets: new TargetTable(),
    prefixes: new PrefixTable(),
    links: new LinkTable(),
    services: new Map(),
    vms: { count: 1 },
  };
}
