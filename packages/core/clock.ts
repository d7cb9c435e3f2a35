/**
 * Time and randomness as arguments.
 *
 * Decisions never read a clock or draw a random number by themselves. The
 * daemon passes the real sources in; tests, the model and experiments pass
 * virtual ones.
 */
import type { MonotonicTime, WallTime } from "./units.ts";

/** Reads the time. Both readings come from one place so that tests can pause it. */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  readMonotonic(): MonotonicTime;
  /** Returns the wall time in milliseconds since the epoch. */
  readWall(): WallTime;
}

/** Returns the next random number, at least 0 and less than 1. */
export type RandomSource = () => number;

/** Returns a clock that reads the process's own monotonic and wall time. */
export function createSystemClock(): Clock {
  return {
    readMonotonic: () => performance.now(),
    readWall: () => Date.now(),
  };
}

/** A clock that moves only when told to. */
export interface ManualClock extends Clock {
  /** Moves both readings forward by a duration in milliseconds. */
  advance(duration: number): void;
  /** Moves the wall reading alone, as an operator who sets the clock does. */
  jumpWall(duration: number): void;
}

/** Returns a manual clock whose readings start at the given wall time. */
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
