/** One request with its route, service, customer and deadline. */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type ReleaseId,
  type ServiceId,
  type TargetId,
  type Tokens,
  type VmId,
} from "../../core/mod.ts";
import type {
  HomeRegions,
  RouteConfig,
  RoutedCustomer,
} from "../../routes/mod.ts";
import type { CallerRequest, PromptFacts } from "../dialect.ts";
import type { SuspectKeys } from "../features/crashes/suspect_keys.ts";
import type { BodyParts } from "./body_buffer.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/**
 * Retry-after of a draining VM and of one whose configuration is stale; another
 * VM can admit the request at once.
 */
export const OTHER_VM_RETRY_AFTER: Millis = 100;

/** One admitted request, as routed at its arrival. */
export interface RoutedCall {
  readonly exchange: CallerExchange;
  readonly request: CallerRequest;
  readonly route: RouteConfig;
  readonly service: ServiceId;
  readonly customer: RoutedCustomer | undefined;
  /** The home regions at its arrival; undefined if it may be sent anywhere. */
  readonly homeRegions: HomeRegions | undefined;
  readonly configurationVersion: number;
  /** Time since that version was last known to be the newest. */
  readonly configurationAge: Millis;
  readonly body: BodyParts;
  /** What of the request crashes of targets are counted by. */
  readonly suspectKeys: SuspectKeys;
  readonly arrivedAt: MonotonicTime;
  /** Time by which the final answer must be sent. */
  readonly deadline: MonotonicTime;
  /** Aborted when the time of a planned stop is over. */
  readonly stopSignal: AbortSignal;
  /** Tokens counted for each event that is forwarded to the caller. */
  readonly tokensPerEvent: Tokens;
}

/** Progress of a request over all of its attempts. */
export class CallProgress {
  /** Targets of all attempts, in order. */
  readonly triedTargets: TargetId[] = [];
  /** The peer that relayed the last attempt; undefined for a direct one. */
  relay: VmId | undefined;
  /** Number of attempts that a target may have run. */
  runs = 0;
  /** Whether the retry budget was charged for the next attempt already. */
  isRetryReserved = false;
  /** Number of events forwarded to the caller. */
  events = 0;
  /** Id of the last forwarded event that has one; streams resume after it. */
  lastEventId: string | undefined;
  /**
   * Release of the targets that the stream's events come from; undefined before
   * the first event, and if the release is not certain.
   */
  release: ReleaseId | undefined;
  /** When a target's first event arrived; undefined for a single answer. */
  firstByteAt: MonotonicTime | undefined;
}

/** Returns the maximum number of tokens that a call may use. */
export function computeMaxTokens(prompt: PromptFacts | undefined): Tokens {
  return prompt === undefined ? 0 : prompt.tokens + prompt.maxOutputTokens;
}

/**
 * Returns the tokens that a call has used: its prompt, counted once however
 * many attempts were made, and the events forwarded to the caller. Returns 0 if
 * no target can have run the call.
 */
export function computeUsedTokens(
  call: RoutedCall,
  progress: CallProgress,
): Tokens {
  const { prompt } = call.request;
  if (prompt === undefined || progress.runs === 0) return 0;
  const output = progress.events * call.tokensPerEvent;
  return prompt.tokens + Math.min(prompt.maxOutputTokens, output);
}

/**
 * Returns an identifier of the prefix that a prompt shares with other requests
 * (all parts but the last), and its number of tokens.
 */
export function findSharedPrefix(
  prompt: PromptFacts | undefined,
): { readonly beginning?: string; readonly sharedTokens: Tokens } {
  const shared = prompt?.parts.slice(0, -1) ?? [];
  if (shared.length === 0) return { sharedTokens: 0 };
  return {
    beginning: shared.map((part) => part.id).join(" "),
    sharedTokens: shared.reduce((sum, part) => sum + part.tokens, 0),
  };
}

/** Time between a caller's last resumption of a stream and its own timeout. */
const STREAM_PERIOD_MARGIN: Millis = 1_000;

/**
 * Returns how long ago the stream that a call takes up may have begun, or how
 * long one that it begins may be taken up: a caller has one timeout for all its
 * requests.
 */
export function computeStreamPeriod({ route, request }: RoutedCall): Millis {
  return Math.max(route.timeout, request.timeout ?? 0) + STREAM_PERIOD_MARGIN;
}

/** Returns a duration in seconds, for metrics. */
export function computeSeconds(from: MonotonicTime, to: MonotonicTime): number {
  return (to - from) / MILLIS_PER_SECOND;
}
