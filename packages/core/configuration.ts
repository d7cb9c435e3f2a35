/**
 * Types of the daemon's configuration, which is built from the operators'
 * document after validation. A configuration is an immutable snapshot; a
 * request uses the same snapshot from start to end.
 */
import type {
  CustomerId,
  DataCentreId,
  EventId,
  KindId,
  RegionId,
  ReleaseId,
  ServiceId,
  TargetId,
  TeamId,
} from "./identifiers.ts";
import type {
  BudgetPreference,
  Priority,
  Repeatability,
  ServiceType,
  StalePolicy,
} from "./enums.ts";
import type { Bytes, Millis, Tokens } from "./units.ts";

/** Settings of one kind of request that an event accepts. */
export interface KindConfig {
  readonly id: KindId;
  readonly service: ServiceId;
  readonly priority: Priority;
  readonly repeatability: Repeatability;
  /**
   * Maximum number of tokens that an engine may generate; 0 for plain services.
   */
  readonly maxOutputTokens: Tokens;
  /**
   * Tokens charged for each call in addition to those that an engine counts.
   */
  readonly flatTokens: Tokens;
  /**
   * Deadline of a request that does not specify one, in milliseconds after its
   * arrival.
   */
  readonly deadline: Millis;
  /** What a VM does with these requests while its document may be outdated. */
  readonly whenStale: StalePolicy;
}

/** One event with its prepaid budget. */
export interface EventConfig {
  readonly id: EventId;
  readonly team: TeamId;
  /** Initial budget in tokens; top-ups are added to it. */
  readonly budgetTokens: Tokens;
  /** Whether to prefer fewer refusals or fewer stranded tokens. */
  readonly lean: BudgetPreference;
  /** Customers that may use the event. */
  readonly customers: readonly CustomerId[];
  readonly kinds: ReadonlyMap<KindId, KindConfig>;
  /** Number of home VMs in each region; 1 except for events with high load. */
  readonly homes: number;
}

/** Rate and concurrency limits of one customer. */
export interface CustomerLimits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrentRequests: number;
}

/** One customer with the hashes of its access keys and its limits. */
export interface CustomerConfig {
  readonly id: CustomerId;
  /** Lower-case hexadecimal SHA-256 of each valid key. */
  readonly keyHashes: readonly string[];
  readonly limits: CustomerLimits;
  /** Share of scarce capacity, relative to the weights of other customers. */
  readonly weight: number;
}

/** One target of a service: a server that requests are sent to. */
export interface TargetConfig {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** Base URL, such as `http://10.0.0.5:8000`. */
  readonly url: string;
  readonly region: RegionId;
  /**
   * Whether the region of the data centre is not known, and `region` only stands
   * for it.
   */
  readonly isRegionUnknown?: boolean;
  readonly dataCentre: DataCentreId;
  /**
   * Version of the target's software; absent if it states none. Streams of two
   * releases don't fit together.
   */
  readonly release?: ReleaseId;
  /**
   * Number of concurrent requests that the target handles well; the initial
   * estimate for routing.
   */
  readonly capacity: number;
}

/** A group of interchangeable targets. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly type: ServiceType;
  /** Path of plain service calls, relative to the target's URL. */
  readonly path: string;
  /** Model and version that the engines of this service should have loaded. */
  readonly model?: string;
  /**
   * Whether targets deduplicate by request key, so that they refuse to run a
   * request a second time.
   */
  readonly checksRequestKeys: boolean;
  /** Whether targets refuse an order with an outdated fencing number. */
  readonly checksFencing: boolean;
  /**
   * Maximum time between sending an order and its taking effect, in
   * milliseconds.
   */
  readonly longestOrder: Millis;
  /** Number of retries allowed per first attempt, such as 0.1. */
  readonly retryRatio: number;
  /**
   * Maximum time in milliseconds without receiving a byte before the network
   * path to a target is suspected to have failed.
   */
  readonly progressTimeout: Millis;
  readonly targets: readonly TargetConfig[];
}

/** Bandwidth and latency of the network link between two regions. */
export interface LinkConfig {
  readonly from: RegionId;
  readonly to: RegionId;
  readonly bytesPerSecond: Bytes;
  /** One-way latency in milliseconds. */
  readonly oneWay: Millis;
}

/** One team that edits a section of the document. */
export interface TeamConfig {
  readonly id: TeamId;
  /** Lower-case hexadecimal SHA-256 of each valid team key. */
  readonly keyHashes: readonly string[];
}

/** The complete configuration of the fleet at one version of the document. */
export interface FleetConfiguration {
  /** Increases by 1 with each accepted change; 0 before a document exists. */
  readonly version: number;
  readonly events: ReadonlyMap<EventId, EventConfig>;
  readonly customers: ReadonlyMap<CustomerId, CustomerConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  readonly teams: ReadonlyMap<TeamId, TeamConfig>;
  readonly links: readonly LinkConfig[];
  /**
   * Maximum time in milliseconds since the document was last confirmed to be
   * the newest; after that it is considered stale.
   */
  readonly staleAfter: Millis;
  /** Additional sentences for callers, by refusal kind. */
  readonly messages: ReadonlyMap<string, string>;
}

/** Returns the configuration of a VM that has not loaded a document yet. */
export function createEmptyConfiguration(): FleetConfiguration {
  return {
    version: 0,
    events: new Map(),
    customers: new Map(),
    services: new Map(),
    teams: new Map(),
    links: [],
    staleAfter: 60_000,
    messages: new Map(),
  };
}
