/**
 * Sources of time and random numbers, which code takes as arguments.
 *
 * Decision code never reads a clock or generates a random number itself. The
 * daemon passes in the real sources; tests, the model and experiments pass
 * simulated ones.
 */
import type { MonotonicTime, WallTime } from "./units.ts";

/**
 * Reads the current time. Both kinds of time come from the same object so that
 * tests can control them together.
 */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  readMonotonic(): MonotonicTime;
  /** Returns the wall time in milliseconds since the epoch. */
  readWall(): WallTime;
}

/** Returns a random number that is at least 0 and less than 1. */
export type RandomSource = () => number;

/** Returns a clock that reads the monotonic and wall time of the process. */
export function createSystemClock(): Clock {
  return {
    readMonotonic: () => performance.now(),
    readWall: () => Date.now(),
  };
}

/** A clock for tests and simulations, whose time advances only on request. */
export interface ManualClock extends Clock {
  /** Advances the monotonic and the wall time by a duration in milliseconds. */
  advance(duration: number): void;
  /** Advances only the wall time, as when an operator sets the system clock. */
  jumpWall(duration: number): void;
}

/** Returns a manual clock with monotonic time 0 and the given wall time. */
export function createManualClock(startWall: WallTime = 0): ManualClock {
  let monotonic = 0;
  let wall = startWall;
  return {
    readMonotonic: () => monotonic,
    readWall: () => wall,
    advance(duration) {
      monotonic += duration;
      wall += duration;
    },
    jumpWall(duration) {
      wall += duration;
    },
  };
}
