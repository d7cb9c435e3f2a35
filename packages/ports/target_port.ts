/**
 * Calls of targets: model engines that stream and plain services that answer
 * once. A call reports its bytes as they come and ends in one result.
 */
import type {
  BodyDigest,
  Bytes,
  Millis,
  Priority,
  RequestKey,
  TargetConfig,
  Tokens,
} from "../core/mod.ts";

/** How far an attempt got, which decides whether it may have run. */
export enum AttemptEnd {
  /** The whole answer arrived. */
  Complete = "complete",
  /** The connection failed before any byte was sent; the target ran nothing. */
  NotSent = "not-sent",
  /** The target refused it and says that it ran nothing. */
  Refused = "refused",
  /** The connection broke or fell silent after bytes were sent. */
  Broken = "broken",
  /** The router cancelled it. */
  Cancelled = "cancelled",
}

/** One attempt at one target. */
export interface TargetCall {
  readonly target: TargetConfig;
  readonly path: string;
  readonly body: Uint8Array;
  readonly priority: Priority;
  readonly requestKey?: RequestKey;
  readonly digest: BodyDigest;
  /** Longest silence before the attempt counts as broken, in milliseconds. */
  readonly progressTimeout: Millis;
  /** Continue a stream of this id after this many chunks; engines only. */
  readonly resume?: {
    readonly streamId: string;
    readonly position: number;
    /** Tokens in the chunks before the position. */
    readonly tokens: Tokens;
  };
  /** Names the stream at the engine, for cancel and resume; absent for services. */
  readonly streamId?: string;
  /** Aborting it closes the attempt's connection. */
  readonly signal: AbortSignal;
}

/** One server-sent event of an engine's stream. */
export interface StreamChunk {
  /** Position from 0 within the whole answer. */
  readonly position: number;
  /** The event's data, as the engine sent it. */
  readonly data: string;
  /** Generated tokens in this chunk. */
  readonly tokens: Tokens;
}

/** An engine's own count of one stream. */
export interface TokenUsage {
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
}

/** One order to an engine, such as to load a model. */
export interface EngineOrder {
  readonly type: string;
  /** Model with version, adapter, or role. */
  readonly name: string;
  readonly fence: number;
  readonly timeout: Millis;
}

/** What an attempt ended with. */
export interface TargetResult {
  readonly end: AttemptEnd;
  /** HTTP status, where one arrived. */
  readonly status?: number;
  readonly contentType?: string;
  /** Body of a plain answer; empty for streams. */
  readonly body: Uint8Array;
  /** Tokens by the engine's own final count, where it gave one. */
  readonly usage?: TokenUsage;
  readonly bytesSent: Bytes;
  readonly bytesReceived: Bytes;
  /** One line for logs. */
  readonly detail: string;
}

/** Takes chunks; the promise it returns holds the stream back. */
export type ChunkSink = (chunk: StreamChunk) => Promise<void> | void;

/** Calls targets. Calls never throw. */
export interface TargetPort {
  /** Streams a chat completion from an engine. */
  stream(call: TargetCall, sink: ChunkSink): Promise<TargetResult>;
  /** Calls a plain service. */
  call(call: TargetCall): Promise<TargetResult>;
  /**
   * Cancels a stream at its engine and returns what it used, over a new
   * connection; undefined when the engine did not answer in time.
   */
  cancel(
    target: TargetConfig,
    options: { readonly streamId: string; readonly timeout: Millis },
  ): Promise<TokenUsage | undefined>;
  /**
   * Gives an engine an order; returns whether it accepted it. One that checks
   * fencing numbers refuses an order with an old one.
   */
  order(target: TargetConfig, order: EngineOrder): Promise<boolean>;
  /** Asks a target for its load over a new connection. */
  probe(
    target: TargetConfig,
    timeout: Millis,
  ): Promise<TargetLoadReport | undefined>;
}

/** A target's own word on its load; it arrives with a lag. */
export interface TargetLoadReport {
  readonly running: number;
  readonly queued: number;
  /** Whether the target says that it is leaving. */
  readonly leaving: boolean;
  /** Models and versions it has loaded; empty for plain services. */
  readonly models: readonly string[];
}
