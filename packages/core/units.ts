/**
 * Units of time, size and tokens, and conversions between them. All durations
 * in anvilrail are whole or fractional milliseconds; all budgets are whole
 * numbers of tokens.
 */

/** A duration in milliseconds. */
export type Millis = number;

/**
 * The time of a monotonic clock in milliseconds. It can be compared only with
 * times of the same process, and setting the wall clock does not affect it.
 */
export type MonotonicTime = number;

/**
 * The time of the wall clock in milliseconds since 1970-01-01T00:00:00Z, for
 * display and for rows.
 */
export type WallTime = number;

/**
 * Time by the monotonic clock of the store, in milliseconds. Readings by
 * different VMs and incarnations are comparable.
 */
export type StoreTime = number;

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

/**
 * Returns the rate per second of a count over a duration; 0 if that is not
 * positive.
 */
export function computeRatePerSecond(count: number, duration: Millis): number {
  if (duration <= 0) return 0;
  return count * MILLIS_PER_SECOND / duration;
}
