/** One request with everything that was decided about it at its arrival. */
import {
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type ServiceId,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import type { RouteConfig, RoutedCustomer } from "../../routes/mod.ts";
import type { CallerRequest, PromptFacts } from "../dialect.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/** One request on its way. */
export interface RoutedCall {
  readonly exchange: CallerExchange;
  readonly request: CallerRequest;
  readonly route: RouteConfig;
  readonly service: ServiceId;
  readonly customer: RoutedCustomer | undefined;
  readonly configurationVersion: number;
  readonly body: Uint8Array;
  readonly arrivedAt: MonotonicTime;
  /** When the final answer must be sent. */
  readonly deadline: MonotonicTime;
  readonly tokensPerEvent: Tokens;
}

/** What has become of a request so far. */
export class CallProgress {
  readonly triedTargets: TargetId[] = [];
  /** Attempts that a target may have run. */
  runs = 0;
  /** Events that were passed on. */
  events = 0;
  lastEventId: string | undefined;
  firstByteAt: MonotonicTime | undefined;
}

/** Returns what a call may use at most. */
export function computeMaxTokens(prompt: PromptFacts | undefined): Tokens {
  return prompt === undefined ? 0 : prompt.tokens + prompt.maxOutputTokens;
}

/** Returns what a call has used: its prompt once, and the events passed on. */
export function computeUsedTokens(
  call: RoutedCall,
  progress: CallProgress,
): Tokens {
  const { prompt } = call.request;
  if (prompt === undefined || progress.runs === 0) return 0;
  const output = progress.events * call.tokensPerEvent;
  return prompt.tokens + Math.min(prompt.maxOutputTokens, output);
}

/** Returns the part of a prompt that other requests share, and its name. */
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

/** Returns a duration in seconds, for metrics. */
export function computeSeconds(from: MonotonicTime, to: MonotonicTime): number {
  return (to - from) / MILLIS_PER_SECOND;
}
