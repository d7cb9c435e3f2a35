/**
 * Port for calls to targets: model engines, which stream their answers, and
 * plain services, which answer once. Each call ends with one result.
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

/** How an attempt ended, which determines whether the target may have run it. */
export enum AttemptEnd {
  /** The complete answer arrived. */
  Complete = "complete",
  /** No connection was established, so the target ran nothing. */
  NotSent = "not-sent",
  /** The target refused it and reports that it ran nothing. */
  Refused = "refused",
  /**
   * The connection failed or timed out after it was established, or the target
   * answered with a server error that does not rule out that it ran.
   */
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
  /** Maximum time without data before the attempt fails, in milliseconds. */
  readonly progressTimeout: Millis;
  /** Resumes the stream with this id after `position` chunks; engines only. */
  readonly resume?: {
    readonly streamId: string;
    readonly position: number;
    /** Tokens in the chunks before the position. */
    readonly tokens: Tokens;
  };
  /** Identifies the stream for cancel and resume; absent for plain services. */
  readonly streamId?: string;
  /** Closes the attempt's connection when aborted. */
  readonly signal: AbortSignal;
}

/** One server-sent event of an engine's stream. */
export interface StreamChunk {
  /** Index within the complete answer, from 0. */
  readonly position: number;
  /** The event's data, unchanged. */
  readonly data: string;
  /** Number of generated tokens in this chunk. */
  readonly tokens: Tokens;
}

/** Token counts of one stream as reported by its engine. */
export interface TokenUsage {
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
}

/** A command to an engine, such as to load a model. */
export interface EngineOrder {
  readonly type: string;
  /** Model with version, adapter, or role. */
  readonly name: string;
  /** Fencing number, which lets the engine reject outdated orders. */
  readonly fence: number;
  readonly timeout: Millis;
}

/** Result of an attempt. */
export interface TargetResult {
  readonly end: AttemptEnd;
  /** HTTP status, if one arrived. */
  readonly status?: number;
  readonly contentType?: string;
  /** Body of an answer that is not streamed; empty for streams. */
  readonly body: Uint8Array;
  /** The engine's last reported token counts, if any. */
  readonly usage?: TokenUsage;
  readonly bytesSent: Bytes;
  readonly bytesReceived: Bytes;
  /** One-line description for logs. */
  readonly detail: string;
}

/** Receives chunks; the stream pauses until the returned promise resolves. */
export type ChunkSink = (chunk: StreamChunk) => Promise<void> | void;

/** Calls targets. Calls report failures in their results and never throw. */
export interface TargetPort {
  /** Streams a chat completion from an engine. */
  stream(call: TargetCall, sink: ChunkSink): Promise<TargetResult>;
  /** Calls a plain service. */
  call(call: TargetCall): Promise<TargetResult>;
  /**
   * Cancels a stream at its engine over a new connection. Returns the tokens
   * it used, or undefined if the engine did not report them in time.
   */
  cancel(
    target: TargetConfig,
    options: { readonly streamId: string; readonly timeout: Millis },
  ): Promise<TokenUsage | undefined>;
  /**
   * Sends an order to an engine and returns whether the engine accepted it. An
   * engine that checks fencing numbers rejects an order with an old number.
   */
  order(target: TargetConfig, order: EngineOrder): Promise<boolean>;
  /** Reads a target's load report over a new connection. */
  probe(
    target: TargetConfig,
    timeout: Millis,
  ): Promise<TargetLoadReport | undefined>;
}

/** A target's own load report, which may be out of date on arrival. */
export interface TargetLoadReport {
  readonly running: number;
  readonly queued: number;
  /** Whether the target reports that it is leaving (shutting down). */
  readonly leaving: boolean;
  /** Loaded models with their versions; empty for plain services. */
  readonly models: readonly string[];
}
