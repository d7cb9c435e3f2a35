/**
 * What the gateway needs from the protocol that callers and targets speak. An
 * adapter decodes messages into these types and back; it decides nothing.
 */
import type { Either } from "purify-ts";
import type {
  CustomerId,
  DataCentreId,
  JsonValue,
  Millis,
  ServiceId,
  TargetId,
  Tokens,
} from "../core/mod.ts";
import type { FeedPort, RowPort } from "../ports/mod.ts";
import type { GatewayConfiguration } from "../routes/mod.ts";

/** Names and values in turn, as they are on the wire. */
export type HeaderList = readonly string[];

/** One part of a prompt; parts with the same id have the same text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

/** A prompt as its caller describes it. */
export interface PromptFacts {
  readonly tokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** In order from the beginning; the last one is the request's own. */
  readonly parts: readonly PromptPart[];
}

/** The head of a caller's request. */
export interface CallerRequest {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly path: string;
  readonly host: string;
  /** How long the caller waits, from arrival; absent if it doesn't say. */
  readonly timeout?: Millis;
  readonly key?: string;
  readonly prompt?: PromptFacts;
  /** Last event that the caller has of a series that broke off. */
  readonly resumeAfter?: string;
  /** What is passed on to a target besides what an attempt sets. */
  readonly headers: HeaderList;
}

/** What an attempt adds to a caller's request. */
export interface AttemptHead {
  readonly target: TargetId;
  readonly timeLeft: Millis;
  readonly customer?: CustomerId;
  readonly rank?: number;
  readonly resumeAfter?: string;
  readonly bodyBytes: number;
}

/** Work at a target, by its own word. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** The request that it answers, where the target says so. */
  readonly requestId?: string;
  /** Whether the target says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another target than the one asked for has answered. */
  readonly isOtherTarget: boolean;
  /** Whether it carries the proof that a target made it. */
  readonly sealed: boolean;
  /** Whether the body is encoded, which no target does. */
  readonly encoded: boolean;
  readonly load?: LoadReport;
  /** Length of the body, where the target says so. */
  readonly bodyBytes?: number;
  /** What is passed on to the caller. */
  readonly headers: HeaderList;
}

/** Start line and headers as they were read. */
export interface RawHead {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
}

/** One target that has registered itself. */
export interface ListedTarget {
  readonly id: TargetId;
  /** Changes when the target starts anew under the same id. */
  readonly incarnation: string;
  readonly service: ServiceId;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: DataCentreId;
  readonly slots: number;
  readonly leaving: boolean;
}

/** Codec of requests and answers, and access to the platform's store. */
export interface Dialect {
  /** Decodes a caller's request; a fault is one plain sentence. */
  parseCallerRequest(raw: RawHead): Either<string, CallerRequest>;
  /** Returns the headers of one attempt. */
  formatAttempt(request: CallerRequest, head: AttemptHead): HeaderList;
  parseAnswer(status: number, headers: HeaderList): AnswerHead;
  /** Returns the headers of an answer that the gateway makes itself. */
  formatOwnAnswer(
    input: { readonly requestId?: string; readonly retryAfter?: Millis },
  ): HeaderList;
  readonly configurations: FeedPort<GatewayConfiguration>;
  readonly targets: FeedPort<ListedTarget>;
  /** The gateway's own rows `peers/VM`, as they change. */
  readonly peers: FeedPort<JsonValue>;
  /** Rows of the gateway's own; one transaction changes one row. */
  readonly table: RowPort;
}
