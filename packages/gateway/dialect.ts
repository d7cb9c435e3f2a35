/**
 * Interface between the gateway and the platform's protocol. An adapter decodes
 * messages of callers and targets into these types and encodes them; all
 * decisions are made by the gateway.
 */
import type { Either } from "purify-ts";
import type {
  CustomerId,
  DataCentreId,
  JsonValue,
  Millis,
  PlatformError,
  ReleaseId,
  ServiceId,
  TargetId,
  Tokens,
} from "../core/mod.ts";
import type { FeedPort, RowPort } from "../ports/mod.ts";
import type { GatewayConfiguration } from "../routes/mod.ts";

/** Alternating header names and values, as sent over the network. */
export type HeaderList = readonly string[];

/** One part of a prompt; parts with the same id have the same text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

/** Size and parts of a prompt, as stated by its caller. */
export interface PromptFacts {
  readonly tokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** In prompt order; all but the last may be shared with other requests. */
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
  /** How long the caller waits, from arrival; absent if not stated. */
  readonly timeout?: Millis;
  /** The customer's key. */
  readonly key?: string;
  readonly prompt?: PromptFacts;
  /** Id of the last event that the caller received of an interrupted stream. */
  readonly resumeAfter?: string;
  /** Id of the caller's request that received the first event of that stream. */
  readonly resumes?: string;
  /** Headers to forward to a target, which gets those of an attempt as well. */
  readonly headers: HeaderList;
}

/** Values that one attempt adds to the head of a caller's request. */
export interface AttemptHead {
  readonly target: TargetId;
  /** Time until the request's deadline. */
  readonly timeLeft: Millis;
  readonly customer?: CustomerId;
  /** Priority of the request; 0 is the most urgent. */
  readonly rank?: number;
  /** Id of the event after which the target resumes the stream. */
  readonly resumeAfter?: string;
  readonly bodyBytes: number;
}

/** Load of a target, as reported by the target itself. */
export interface LoadReport {
  /** Requests that are running. */
  readonly running: number;
  /** Requests that are queued. */
  readonly waiting: number;
  /** Requests that can run at once. */
  readonly slots: number;
}

/** A limit on requests that a target names in an answer. */
export interface AnswerLimit {
  /**
   * Requests per second that the target accepts from all VMs together; absent
   * if it can't be read, so that what was named before holds.
   */
  readonly perSecond?: number;
}

/** The head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that it answers, if the target states one. */
  readonly requestId?: string;
  /** Whether the target says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether it comes from another target than the requested one. */
  readonly isOtherTarget: boolean;
  /** Whether the target says that it is leaving and must get no new requests. */
  readonly leaving: boolean;
  /**
   * How long the target wants no requests from this VM; absent if it asks for
   * no pause.
   */
  readonly pause?: Millis;
  /** Whether it carries the header that proves that a target produced it. */
  readonly sealed: boolean;
  /** Whether the body is a stream of events, or no type of it is stated. */
  readonly isEventStream: boolean;
  /** Whether the body has a content encoding, which targets never apply. */
  readonly encoded: boolean;
  readonly load?: LoadReport;
  /** Absent if the target names no limit. */
  readonly limit?: AnswerLimit;
  /** Length of the body, if the target states it. */
  readonly bodyBytes?: number;
  /** Headers that are forwarded to the caller. */
  readonly headers: HeaderList;
}

/** Request line and headers as received, not yet decoded. */
export interface RawHead {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
}

/** One target that has registered itself in the platform's store. */
export interface ListedTarget {
  readonly id: TargetId;
  /** Changes when the target restarts under the same id. */
  readonly incarnation: string;
  readonly service: ServiceId;
  /** Version of its software, which decides what it writes in a stream. */
  readonly release: ReleaseId;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: DataCentreId;
  /** Requests that it can run at once. */
  readonly slots: number;
  /** Whether it is shutting down and must not get new requests. */
  readonly leaving: boolean;
  /**
   * Time from when the entry was read for which it stays cold and tolerates few
   * requests; usually 0.
   */
  readonly coldRemaining: Millis;
}

/** The evacuations that one answer of the store lists. */
export interface ListedEvacuations {
  /** Data centres whose targets must get no requests; they may not exist. */
  readonly dataCentres: readonly DataCentreId[];
  /** Version of the store up to which the list is complete. */
  readonly version: number;
  /**
   * Highest version that any answer had shown when the list was asked for;
   * -Infinity before the first. The list may come from a copy that lags.
   */
  readonly knownVersion: number;
}

/** Reads the evacuations that the operator has requested. */
export interface EvacuationPort {
  /** Reads the complete list. The result may be older than an earlier one. */
  load(): Promise<Either<PlatformError, ListedEvacuations>>;
}

/** A configuration, and its text in the store, which VMs give to each other. */
export interface StoredConfiguration {
  readonly configuration: GatewayConfiguration;
  readonly text: string;
}

/** Protocol adapter: codec of requests and answers, and access to the store. */
export interface Dialect {
  /** Decodes a caller's request; a Left explains the error in one sentence. */
  parseCallerRequest(raw: RawHead): Either<string, CallerRequest>;
  /** Returns the headers that an attempt sends to its target. */
  formatAttempt(request: CallerRequest, head: AttemptHead): HeaderList;
  /** Decodes the head of a target's answer. */
  parseAnswer(status: number, headers: HeaderList): AnswerHead;
  /** Returns the headers of an answer that the gateway itself produces. */
  formatOwnAnswer(
    input: { readonly requestId?: string; readonly retryAfter?: Millis },
  ): HeaderList;
  /** Feed of the versions of the route configuration. */
  readonly configurations: FeedPort<StoredConfiguration>;
  /** Decodes the text of a stored configuration, as another VM received it. */
  parseConfiguration(text: string): Either<string, StoredConfiguration>;
  /** Evacuations of data centres; read only where the settings ask for it. */
  readonly evacuations: EvacuationPort;
  /** Feed of the registered targets. */
  readonly targets: FeedPort<ListedTarget>;
  /** Feed of the rows `peers/VM`, which the gateways themselves write. */
  readonly peers: FeedPort<JsonValue>;
  /** Feed of the rows `crashes/VM`, which the gateways themselves write. */
  readonly crashReports: FeedPort<JsonValue>;
  /** Feed of the rows `limits/VM`, which the gateways themselves write. */
  readonly limitReports: FeedPort<JsonValue>;
  /** The rows `streams/VM`, which the gateways themselves write. */
  readonly streamRows: Pick<FeedPort<JsonValue>, "load">;
  /** The gateways' own rows; a transaction changes only one row. */
  readonly table: RowPort;
  /** Ends all calls of the ports that were not sent yet, and sends no others. */
  close(): void;
}
