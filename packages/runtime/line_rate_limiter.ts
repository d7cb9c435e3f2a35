/**
 * Limits how many log lines of each event are written per second. Each event is
 * counted separately, so that routine lines never displace failures and changes
 * of state, which have a separate limit.
 */
import type { Millis, MonotonicTime } from "../core/mod.ts";
import { MILLIS_PER_SECOND } from "../core/mod.ts";

/** Category of a log line, which determines its limit. */
export enum LineCategory {
  /** An event of normal operation, such as the end of a request. */
  Routine = "routine",
  /** A failure, a refusal or a change of state. */
  Notable = "notable",
}

/** Maximum number of lines per event and second, by category. */
export type LineRateLimits = Readonly<Record<LineCategory, number>>;

/** Number of lines of one event that were dropped. */
export interface DroppedLines {
  readonly event: string;
  readonly lines: number;
}

const WINDOW: Millis = MILLIS_PER_SECOND;

/** Counts the lines of each event in windows of one second. */
export class LineRateLimiter {
  readonly #limits: LineRateLimits;
  readonly #counts = new Map<string, number>();
  #windowStart: MonotonicTime = -Infinity;

  constructor(limits: LineRateLimits) {
    this.#limits = limits;
  }

  /** Counts a line and returns whether it is within the limit. */
  admit(event: string, category: LineCategory): boolean {
    const count = (this.#counts.get(event) ?? 0) + 1;
    this.#counts.set(event, count);
    return count <= this.#limits[category];
  }

  /**
   * If the current window is over, starts a new one and returns the lines that
   * were dropped in the old one. Returns an empty list otherwise.
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
