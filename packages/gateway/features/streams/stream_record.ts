/** What is known of a stream that its caller may take up again. */
import type { Millis, ReleaseId, ServiceId } from "../../../core/mod.ts";

/** What began a stream, and must continue it. */
export interface StreamOrigin {
  readonly service: ServiceId;
  readonly release: ReleaseId;
}

/** A stream whose first event was forwarded. */
export interface BegunStream extends StreamOrigin {
  readonly id: string;
  /** Whether its route is split among services. */
  readonly isSplit: boolean;
  /** How long the stream may be of use to its caller. */
  readonly period: Millis;
}
