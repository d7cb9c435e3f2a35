/**
 * The configuration in force: what the operators' document says once it has
 * been checked. A snapshot is immutable; a request keeps the one it began with.
 */
import type {
  CustomerId,
  DataCentreId,
  EventId,
  KindId,
  RegionId,
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

/** One kind of request that an event admits. */
export interface KindConfig {
  readonly id: KindId;
  readonly service: ServiceId;
  readonly priority: Priority;
  readonly repeatability: Repeatability;
  /** Upper bound of generated tokens; 0 for plain services. */
  readonly maxOutputTokens: Tokens;
  /** Tokens charged for each call besides what an engine counts. */
  readonly flatTokens: Tokens;
  /** Deadline of a request that names none, in milliseconds from arrival. */
  readonly deadline: Millis;
  readonly whenStale: StalePolicy;
}

/** One event with its prepaid budget. */
export interface EventConfig {
  readonly id: EventId;
  readonly team: TeamId;
  /** Limit the event starts with, in tokens; top-ups are added to it. */
  readonly budgetTokens: Tokens;
  readonly lean: BudgetPreference;
  readonly customers: readonly CustomerId[];
  readonly kinds: ReadonlyMap<KindId, KindConfig>;
  /** Number of home VMs in each region; 1 unless the event is hot. */
  readonly homes: number;
}

/** Limits on what one customer may have going on. */
export interface CustomerLimits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrentRequests: number;
}

/** One customer and the hashes of its keys. */
export interface CustomerConfig {
  readonly id: CustomerId;
  /** Lower-case hexadecimal SHA-256 of each valid key. */
  readonly keyHashes: readonly string[];
  readonly limits: CustomerLimits;
  /** Share when capacity is scarce, relative to other customers. */
  readonly weight: number;
}

/** One target of a service. */
export interface TargetConfig {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** Base URL, such as `http://10.0.0.5:8000`. */
  readonly url: string;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** Requests it runs well at once, as a starting point for routing. */
  readonly capacity: number;
}

/** A group of interchangeable targets. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly type: ServiceType;
  /** Path of plain service calls below the target's URL. */
  readonly path: string;
  /** Model and version that engines of this group are to have loaded. */
  readonly model?: string;
  /** Whether targets check request keys themselves and refuse a second run. */
  readonly checksRequestKeys: boolean;
  /** Whether targets refuse an order that carries an old fencing number. */
  readonly checksFencing: boolean;
  /** Longest time an order may take effect after it was sent, in milliseconds. */
  readonly longestOrder: Millis;
  /** Retries allowed for each first attempt, such as 0.1. */
  readonly retryRatio: number;
  /** Longest time without a byte of progress before a path is suspected. */
  readonly progressTimeout: Millis;
  readonly targets: readonly TargetConfig[];
}

/** The link between two regions. */
export interface LinkConfig {
  readonly from: RegionId;
  readonly to: RegionId;
  readonly bytesPerSecond: Bytes;
  readonly oneWay: Millis;
}

/** One team that edits a section of the document. */
export interface TeamConfig {
  readonly id: TeamId;
  /** Lower-case hexadecimal SHA-256 of each valid team key. */
  readonly keyHashes: readonly string[];
}

/** Everything in force at one version of the document. */
export interface FleetConfiguration {
  /** Rises by one with each accepted change; 0 before any document exists. */
  readonly version: number;
  readonly events: ReadonlyMap<EventId, EventConfig>;
  readonly customers: ReadonlyMap<CustomerId, CustomerConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  readonly teams: ReadonlyMap<TeamId, TeamConfig>;
  readonly links: readonly LinkConfig[];
  /** Longest time without confirmation before the document counts as stale. */
  readonly staleAfter: Millis;
  /** Extra sentences for callers, by refusal kind. */
  readonly messages: ReadonlyMap<string, string>;
}

/** Returns the configuration of a VM that has not seen a document. */
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
