/** Backpressure: decides whether to read more of a stream from its target. */
import { type Bytes, BYTES_PER_KIB, type Millis } from "../../core/mod.ts";

/** What to do with a stream while its caller reads slowly. */
export enum BackpressureAction {
  Read = "read",
  /** Pause reading from the target until the caller has read the buffer. */
  Hold = "hold",
  /** Cancel the attempt: the caller has stopped reading. */
  Abandon = "abandon",
}

/** Buffered bytes from which reading from the target pauses. */
const MAX_BUFFERED: Bytes = 64 * BYTES_PER_KIB;

/** Time without reading after which a caller's stream is cancelled. */
const MAX_BLOCKED: Millis = 30_000;

/** Returns what to do with a stream, given what is buffered for its caller. */
export function decideBackpressure(
  input: {
    readonly buffered: Bytes;
    /** Time since the caller last read a byte. */
    readonly blockedFor: Millis;
  },
): BackpressureAction {
  if (input.buffered < MAX_BUFFERED) return BackpressureAction.Read;
  return input.blockedFor < MAX_BLOCKED
    ? BackpressureAction.Hold
    : BackpressureAction.Abandon;
}
