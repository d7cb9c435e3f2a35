/** Histograms of durations and sizes with three significant digits. */
import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

/** Resolution: values are rounded to a thousandth of their unit. */
const STEPS_PER_UNIT = 1_000;

/** A histogram of non-negative values; negative values count as 0. */
export class Histogram {
  readonly #histogram: HdrHistogram = build({ bitBucketSize: 64 });
  #sum = 0;

  record(value: number): void {
    this.#sum += value;
    this.#histogram.recordValue(
      Math.max(0, Math.round(value * STEPS_PER_UNIT)),
    );
  }

  /** Returns the value at or below which this percentage of the values lie. */
  computePercentile(percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / STEPS_PER_UNIT;
  }

  /**
   * Returns count, mean, percentiles and maximum; 0 if nothing was recorded.
   */
  readSummary() {
    const count = this.#histogram.totalCount;
    return {
      count,
      mean: count === 0 ? 0 : this.#sum / count,
      p50: this.computePercentile(50),
      p95: this.computePercentile(95),
      p99: this.computePercentile(99),
      max: this.#histogram.maxValue / STEPS_PER_UNIT,
    };
  }
}

/** Summary of a histogram, in the unit of its values. */
export type HistogramSummary = ReturnType<Histogram["readSummary"]>;
