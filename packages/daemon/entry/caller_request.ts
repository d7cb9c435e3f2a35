/** A caller's request after validation of its headers and body. */
import type {
  BodyDigest,
  CustomerConfig,
  EventConfig,
  FleetConfiguration,
  KindConfig,
  MonotonicTime,
  RequestKey,
  ServiceConfig,
  Tokens,
} from "../../core/mod.ts";
import type { PrefixDigest } from "../../routing/mod.ts";

/** A validated request, with the configuration in force at its arrival. */
export interface CallerRequest {
  readonly configuration: FleetConfiguration;
  readonly customer: CustomerConfig;
  readonly event: EventConfig;
  readonly kind: KindConfig;
  readonly service: ServiceConfig;
  /** The caller's idempotency key, or one generated for this request alone. */
  readonly requestKey: RequestKey;
  /** Whether the caller gave the key, so that its retries can use it again. */
  readonly keyGiven: boolean;
  /** Digest of the body as received. */
  readonly digest: BodyDigest;
  /** The body as received from the caller. */
  readonly receivedBody: Uint8Array;
  /** The body as sent to targets. */
  readonly body: Uint8Array;
  /** Whether the caller wants server-sent events. */
  readonly stream: boolean;
  /** Upper bound on the prompt's tokens; 0 for plain services. */
  readonly promptBound: Tokens;
  /** Upper bound on the generated tokens; 0 for plain services. */
  readonly outputBound: Tokens;
  /** Digests of the prompt's prefixes, the shortest prefix first. */
  readonly prefixes: readonly PrefixDigest[];
  readonly arrivedAt: MonotonicTime;
  readonly deadline: MonotonicTime;
}
