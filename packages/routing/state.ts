/**
 * What one VM knows of the targets of its services.
 *
 * The tables are changed only by this package's commands, which the kernel's
 * handlers run one at a time; each command returns the state it was given. The
 * records in the tables are immutable snapshots. Copying tables of a thousand
 * targets for every attempt would cost more than the attempt.
 */
import {
  type BodyDigest,
  type Bytes,
  type CustomerId,
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

/** All targets, prefixes and links that one VM knows. */
export interface RoutingState {
  /** The VM's own region; absent when it does not care. */
  readonly region?: RegionId;
  readonly targets: TargetTable;
  readonly prefixes: PrefixTable;
  readonly links: LinkTable;
  readonly services: Map<ServiceId, ServiceConfig>;
}

/** What routing needs to know of a request. */
export interface RoutedRequest {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  readonly digest: BodyDigest;
  /** Targets that attempts of this request have used. */
  readonly tried: readonly TargetId[];
  /** Targets to leave out as well, such as those that run other suspects. */
  readonly avoided?: readonly TargetId[];
  /** Standard if absent. */
  readonly priority?: Priority;
  /** Model, version and adapters that the target must have loaded. */
  readonly models?: readonly string[];
  /** Digests of the prompt's beginning, the shortest first. */
  readonly prefixes?: readonly PrefixDigest[];
  /** Tokens of the prompt, as far as known; none for plain services. */
  readonly promptTokens?: Tokens;
  /** Tokens of the longest prefix, which a holder need not read again. */
  readonly prefixTokens?: Tokens;
  /** Bytes that the request and its answer are expected to take. */
  readonly expectedBytes?: Bytes;
}

/** Default priority of a routed request. */
export const DEFAULT_PRIORITY = Priority.Standard;

/** Returns the state of a VM that knows no target. */
export function createRoutingState(
  options: { readonly region?: RegionId } = {},
): RoutingState {
  return {
    ...options,
    targets: new TargetTable(),
    prefixes: new PrefixTable(),
    links: new LinkTable(),
    services: new Map(),
  };
}
