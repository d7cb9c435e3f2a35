/**
 * Bounds how many log lines of each event are written in a second. Lines of
 * failures and changes have a bound of their own, so that routine lines never
 * take their room.
 */
import type { Millis, MonotonicTime } from "../core/mod.ts";
import { MILLIS_PER_SECOND } from "../core/mod.ts";

/** How much a line matters when not all can be written. */
export enum LineCategory {
  /** Repeats with each request. */
  Routine = "routine",
  /** A failure, a refusal or a change of what is believed. */
  Notable = "notable",
}

/** Most lines of one event in a second. */
export type LineRateLimits = Readonly<Record<LineCategory, number>>;

/** Lines of one event that were left out. */
export interface DroppedLines {
  readonly event: string;
  readonly lines: number;
}

const WINDOW: Millis = MILLIS_PER_SECOND;

/** Counts lines. */
export class LineRateLimiter {
  readonly #limits: LineRateLimits;
  readonly #counts = new Map<string, number>();
  #windowStart: MonotonicTime = -Infinity;

  constructor(limits: LineRateLimits) {
    this.#limits = limits;
  }

  /** Counts a line and returns whether it may be written. */
  admit(event: string, category: LineCategory): boolean {
    const count = (this.#counts.get(event) ?? 0) + 1;
    this.#counts.set(event, count);
    return count <= this.#limits[category];
  }

  /**
   * Starts the next second when it has come and returns what was left out in
   * the one before.
   */
  takeDropped(
    now: MonotonicTime,
    findCategory: (event: string) => LineCategory,
  ): DroppedLines[] {
    if (now - this.#windowStart < WINDOW) return [];
    this.#windowStart = now;
    const dropped = [...this.#counts]
      .map(([event, count]) => ({
        event,
        lines: count - this.#limits[findCategory(event)],
      }))
      .filter(({ lines }) => lines > 0);
    this.#counts.clear();
    return dropped;
  }
}
