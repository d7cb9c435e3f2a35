/** A caller's request after its headers and body were checked. */
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

/** One request, with the configuration it began with. */
export interface CallerRequest {
  readonly configuration: FleetConfiguration;
  readonly customer: CustomerConfig;
  readonly event: EventConfig;
  readonly kind: KindConfig;
  readonly service: ServiceConfig;
  /** The caller's key, or one made for this request alone. */
  readonly requestKey: RequestKey;
  /** Whether the caller gave the key, so that a retry can name it. */
  readonly keyGiven: boolean;
  readonly digest: BodyDigest;
  /** Body as the caller sent it. */
  readonly receivedBody: Uint8Array;
  /** Body as targets are sent it. */
  readonly body: Uint8Array;
  /** Whether the caller wants server-sent events. */
  readonly stream: boolean;
  /** Upper bound of prompt tokens; 0 for plain services. */
  readonly promptBound: Tokens;
  /** Upper bound of generated tokens; 0 for plain services. */
  readonly outputBound: Tokens;
  /** Digests of the prompt's beginning, the shortest first. */
  readonly prefixes: readonly PrefixDigest[];
  readonly arrivedAt: MonotonicTime;
  readonly deadline: MonotonicTime;
}
