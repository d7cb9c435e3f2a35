/**
 * Types of a gateway's configuration: routes, services, customers and limits. A
 * configuration is immutable, and each new version from the platform replaces
 * all of it. Versions only increase. A request uses the same configuration from
 * start to end.
 */
import type {
  Bytes,
  CustomerId,
  Millis,
  Repeatability,
  ServiceId,
  Tokens,
} from "../core/mod.ts";
import type { HomeRegions } from "./home_regions.ts";

/** Form of a route's answers. */
export enum AnswerForm {
  /** A single answer, which is sent when it is complete. */
  Whole = "whole",
  /** A stream of events with increasing ids, which are sent as they arrive. */
  Events = "events",
}

/** One of the services among which the requests of a route are split. */
export interface ServiceShare {
  readonly service: ServiceId;
  /**
   * Weight relative to the other services of the route; 0 sends no requests.
   */
  readonly weight: number;
}

/**
 * Where requests for one host and path prefix are sent, and how they are
 * handled.
 */
export interface RouteConfig {
  readonly id: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly services: readonly ServiceShare[];
  readonly form: AnswerForm;
  readonly repeatability: Repeatability;
  /**
   * Whether an interrupted stream of events may be resumed at another target.
   */
  readonly resumable: boolean;
  /** Maximum time from arrival to the end of the answer, in milliseconds. */
  readonly timeout: Millis;
  /**
   * Desired time to the answer, or to its first event, in milliseconds. The
   * time after which a target is considered unresponsive is derived from it.
   */
  readonly latencyGoal: Millis;
  /**
   * Desired maximum pause between two events, in milliseconds; absent if not
   * specified. The idle timeout of a stream is derived from it.
   */
  readonly pauseGoal?: Millis;
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority of the requests; 0 is the most urgent. */
  readonly rank: number;
  /** Whether requests are accepted without a customer key. */
  readonly anonymous: boolean;
  /** Regions to which its requests are confined; absent if to none. */
  readonly homeRegions?: HomeRegions;
}

/** Capacity of each model engine of a service. */
export interface EngineConfig {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /**
   * Maximum number of tokens that the prefix cache and the running requests hold
   * together.
   */
  readonly cacheTokens: Tokens;
  /** Maximum number of tokens in one event of a stream. */
  readonly tokensPerEvent: Tokens;
}

/** A service: a group of interchangeable targets that routes refer to. */
export interface RoutedService {
  readonly id: ServiceId;
  /**
   * Maximum number of connections that one target accepts from all VMs
   * together.
   */
  readonly maxConnections: number;
  /** Present only for services of model engines. */
  readonly engine?: EngineConfig;
  /** Time for which a target is cold after it starts; 0 if it is not. */
  readonly coldStart: Millis;
  /**
   * Requests per second from all VMs together that a cold target tolerates; 0 if
   * its targets are never cold.
   */
  readonly coldPerSecond: number;
}

/** One customer with its keys and its prepaid budget. */
export interface RoutedCustomer {
  readonly id: CustomerId;
  /** Access keys, any of which identifies the customer. */
  readonly keys: readonly string[];
  /** Priority that overrides the one of the route; 0 is the most urgent. */
  readonly rank?: number;
  /** Total number of tokens that the customer may use; absent if unlimited. */
  readonly prepaid?: Tokens;
  /** Regions to which its requests are confined; absent if to none. */
  readonly homeRegions?: HomeRegions;
}

/** Size limits and timeouts for the connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: Bytes;
  readonly maxBodyBytes: Bytes;
  /** Maximum time to receive the headers of a request, in milliseconds. */
  readonly headerTimeout: Millis;
  /**
   * Time in milliseconds after which a connection without a request is closed.
   */
  readonly idleTimeout: Millis;
}

/** A complete configuration of a gateway. */
export interface GatewayConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  readonly customers: readonly RoutedCustomer[];
  /**
   * Whether requests need the key of a customer, except on anonymous routes.
   */
  readonly requiresKeys: boolean;
  readonly limits: CallerLimits;
}
