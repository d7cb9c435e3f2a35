/**
 * Tells up to when a reading of the store shows all changes. Copies may lag, and
 * an answer of one looks like any other; but this VM's other calls show which
 * versions the store had reached, and when.
 */
import type { MonotonicTime } from "../../../core/mod.ts";

/** Number of samples that are kept: more readings than fit into any bound. */
const MAX_SAMPLES = 64;

/** The highest version that was known at some times. */
export class VersionSamples {
  readonly #samples: {
    readonly at: MonotonicTime;
    readonly version: number;
  }[] = [];

  /** Records the highest version that any call has shown until a time. */
  record(at: MonotonicTime, version: number): void {
    this.#samples.push({ at, version });
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /**
   * Returns the latest recorded time at which no version above the given one was
   * known; -Infinity if there is none.
   */
  findCurrentUntil(version: number): MonotonicTime {
    return this.#samples.findLast((each) => each.version <= version)?.at ??
      -Infinity;
  }
}
