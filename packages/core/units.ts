/**
 * Units of time, size and money-like quantities, and the conversions between
 * them. All durations in anvilrail are whole or fractional milliseconds; all
 * budgets are whole tokens.
 */

/** A duration in milliseconds. */
export type Millis = number;

/**
 * A reading of a monotonic clock in milliseconds. It is comparable only with
 * readings of the same process and never jumps when the wall clock is set.
 */
export type MonotonicTime = number;

/** Milliseconds since 1970-01-01T00:00:00Z by the wall clock, for people and rows. */
export type WallTime = number;

/** A whole number of model tokens. */
export type Tokens = number;

/** A whole number of bytes. */
export type Bytes = number;

/** Milliseconds in one second. */
export const MILLIS_PER_SECOND = 1_000;

/** Milliseconds in one minute. */
export const MILLIS_PER_MINUTE = 60_000;

/** Milliseconds in one hour. */
export const MILLIS_PER_HOUR = 3_600_000;

/** Bytes in one kibibyte. */
export const BYTES_PER_KIB = 1_024;

/** Bytes in one mebibyte. */
export const BYTES_PER_MIB = 1_048_576;

/** Returns the rate in units per second for a count seen over a duration. */
export function computeRatePerSecond(count: number, duration: Millis): number {
  if (duration <= 0) return 0;
  return count * MILLIS_PER_SECOND / duration;
}
