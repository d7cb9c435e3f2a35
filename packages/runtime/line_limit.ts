/**
 * Bounds how many log lines of each event are written in a second. Lines of
 * failures and changes have a bound of their own, so that routine lines never
 * take their room.
 */
import type { Millis, MonotonicTime } from "../core/mod.ts";
import { MILLIS_PER_SECOND } from "../core/mod.ts";

/** How much a line matters when not all can be written. */
export enum LineRank {
  /** Repeats with each request. */
  Routine = "routine",
  /** A failure, a refusal or a change of what is believed. */
  Notable = "notable",
}

/** Most lines of one event in a second. */
export type LineLimits = Readonly<Record<LineRank, number>>;

/** Lines of one event that were left out. */
export interface LeftOut {
  readonly event: string;
  readonly lines: number;
}

const SPAN: Millis = MILLIS_PER_SECOND;

/** Counts lines. */
export class LineLimit {
  readonly #limits: LineLimits;
  readonly #counts = new Map<string, number>();
  #since: MonotonicTime = -Infinity;

  constructor(limits: LineLimits) {
    this.#limits = limits;
  }

  /** Counts a line and returns whether it may be written. */
  admit(event: string, rank: LineRank): boolean {
    const count = (this.#counts.get(event) ?? 0) + 1;
    this.#counts.set(event, count);
    return count <= this.#limits[rank];
  }

  /**
   * Starts the next second when it has come and returns what was left out in
   * the one before.
   */
  takeLeftOut(
    now: MonotonicTime,
    findRank: (event: string) => LineRank,
  ): LeftOut[] {
    if (now - this.#since < SPAN) return [];
    this.#since = now;
    const leftOut = [...this.#counts]
      .map(([event, count]) => ({
        event,
        lines: count - this.#limits[findRank(event)],
      }))
      .filter(({ lines }) => lines > 0);
    this.#counts.clear();
    return leftOut;
  }
}
