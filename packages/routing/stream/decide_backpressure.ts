/** Decides whether a stream is read on while its caller is slow. */
import { type Bytes, BYTES_PER_KIB, type Millis } from "../../core/mod.ts";

/** What a caller's pace allows. */
export enum BackpressureAction {
  Read = "read",
  /** Stop reading from the target until the caller has taken what is waiting. */
  Hold = "hold",
  /** The caller takes nothing any more: cancel the attempt. */
  Abandon = "abandon",
}

const MOST_BUFFERED: Bytes = 64 * BYTES_PER_KIB;
const LONGEST_BLOCKED: Millis = 30_000;

/** Returns what to do with a stream whose caller has bytes waiting. */
export function decideBackpressure(
  input: {
    readonly buffered: Bytes;
    /** Time since the caller last took a byte. */
    readonly blockedFor: Millis;
  },
): BackpressureAction {
  if (input.buffered < MOST_BUFFERED) return BackpressureAction.Read;
  return input.blockedFor < LONGEST_BLOCKED
    ? BackpressureAction.Hold
    : BackpressureAction.Abandon;
}
