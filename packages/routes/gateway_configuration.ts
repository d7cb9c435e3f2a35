/**
 * The routes, services and customers in force. A configuration comes whole from
 * outside, is immutable, and carries a version that only rises; a request keeps
 * the one it began with.
 */
import type {
  Bytes,
  CustomerId,
  Millis,
  Repeatability,
  ServiceId,
  Tokens,
} from "../core/mod.ts";

/** Form of a route's answers. */
export enum AnswerForm {
  /** One answer, sent when it is whole. */
  Whole = "whole",
  /** A series of events with increasing ids, sent as they come. */
  Events = "events",
}

/** One of the services that share a route's requests. */
export interface ServiceShare {
  readonly service: ServiceId;
  /** Relative to the other shares of the route; 0 sends nothing. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface RouteConfig {
  readonly id: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly services: readonly ServiceShare[];
  readonly form: AnswerForm;
  readonly repeatability: Repeatability;
  /** Whether a broken series of events may go on at another target. */
  readonly resumable: boolean;
  /** Longest time from arrival to the final answer, in milliseconds. */
  readonly timeout: Millis;
  /** Time to the answer, or to its first event, that callers hope for. */
  readonly latencyGoal: Millis;
  /** Longest pause between events that callers hope for; absent if not stated. */
  readonly pauseGoal?: Millis;
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** Rank among requests; 0 is the most urgent. */
  readonly rank: number;
  /** Whether requests need no customer key. */
  readonly anonymous: boolean;
}

/** What the engines of a service have in common. */
export interface EngineFacts {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit into the prefix cache and running requests together. */
  readonly cacheTokens: Tokens;
  /** Most tokens that one event of a stream holds. */
  readonly tokensPerEvent: Tokens;
}

/** A group of interchangeable targets, as the configuration describes it. */
export interface RoutedService {
  readonly id: ServiceId;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number;
  /** Present for services of model engines. */
  readonly engine?: EngineFacts;
}

/** One customer: its keys and its prepaid budget. */
export interface RoutedCustomer {
  readonly id: CustomerId;
  readonly keys: readonly string[];
  /** Goes before the rank of a route where it is set. */
  readonly rank?: number;
  /** Tokens that it may use in all; absent when it isn't limited. */
  readonly prepaid?: Tokens;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: Bytes;
  readonly maxBodyBytes: Bytes;
  readonly headerTimeout: Millis;
  /** How long a connection without a request is kept. */
  readonly idleTimeout: Millis;
}

/** A whole configuration. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  readonly customers: readonly RoutedCustomer[];
  /** Whether requests must carry a customer's key. */
  readonly requiresKeys: boolean;
  readonly limits: CallerLimits;
}
