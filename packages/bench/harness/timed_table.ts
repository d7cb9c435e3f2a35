/** A memory table whose calls take virtual time and which has outages. */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import type { TablePort } from "../../ports/mod.ts";
import { CallFault, MemoryTable } from "../../stand_ins/mod.ts";
import type { SeededRandom } from "./random.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** A span of virtual time: from `start` up to `end`. */
export interface TimeWindow {
  readonly start: MonotonicTime;
  readonly end: MonotonicTime;
}

/** How the table behaves. */
export interface TimedTableOptions {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  /** Median time from call to answer. */
  readonly latency: Millis;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Spans in which every call fails. */
  readonly outages?: readonly TimeWindow[];
  /** Share of transactions whose answer is lost after their effect. */
  readonly lostAnswerProbability?: number;
}

/** Spread of the latency around its median. */
const LATENCY_SIGMA = 0.3;

/** The table that several VMs of one experiment share. */
export class TimedTable implements TablePort {
  /** The rows themselves, with counts. */
  readonly memory: MemoryTable;
  readonly #options: TimedTableOptions;

  constructor(options: TimedTableOptions) {
    this.#options = options;
    const { clock, writesPerSecond, readsPerSecond } = options;
    this.memory = new MemoryTable({
      now: () => clock.readMonotonic(),
      chooseFault: (call) => this.#chooseFault(call),
      ...(writesPerSecond === undefined ? {} : { writesPerSecond }),
      ...(readsPerSecond === undefined ? {} : { readsPerSecond }),
    });
  }

  readonly read: TablePort["read"] = (keys) =>
    this.#delay(() => this.memory.read(keys));

  readonly scan: TablePort["scan"] = (prefix, options) =>
    this.#delay(() => this.memory.scan(prefix, options));

  readonly transact: TablePort["transact"] = (transaction) =>
    this.#delay(() => this.memory.transact(transaction));

  /** Half of the latency passes before the effect and half after it. */
  async #delay<Result>(call: () => Promise<Result>): Promise<Result> {
    const { clock, random, latency } = this.#options;
    const half = random.drawLognormal(latency / 2, LATENCY_SIGMA);
    await clock.wait(half);
    const result = await call();
    await clock.wait(half);
    return result;
  }

  #chooseFault(call: "read" | "write"): CallFault {
    const {
      clock,
      random,
      outages = [],
      lostAnswerProbability: lostAnswers = 0,
    } = this.#options;
    if (isWithin(outages, clock.readMonotonic())) return CallFault.Down;
    const lost = call === "write" && lostAnswers > 0 &&
      random.drawChance(lostAnswers);
    return lost ? CallFault.AnswerLost : CallFault.None;
  }
}

/** Returns whether a time lies in one of the windows. */
export function isWithin(
  windows: readonly TimeWindow[],
  time: MonotonicTime,
): boolean {
  return windows.some((window) => time >= window.start && time < window.end);
}
