/** Percentiles of the recent times to first byte of each service. */
import { build, type Histogram } from "hdr-histogram-js";
import {
  type Millis,
  MILLIS_PER_HOUR,
  type MonotonicTime,
  type ServiceId,
} from "../../core/mod.ts";

/** Length of one time window. */
const WINDOW: Millis = 60_000;

/** Minimum number of samples for a meaningful percentile. */
const MIN_SAMPLES = 100;

/** Histograms of one service for the current and the previous time window. */
interface Window {
  current: Histogram;
  previous: Histogram;
  startedAt: MonotonicTime;
}

/** Keeps the times to first byte of the last one to two minutes. */
export class FirstByteTimes {
  readonly #windows = new Map<ServiceId, Window>();

  /** Records the time to first byte of one attempt. */
  record(service: ServiceId, time: Millis, now: MonotonicTime): void {
    const window = this.#readWindow(service, now);
    window.current.recordValue(Math.min(MILLIS_PER_HOUR, Math.round(time)));
  }

  /** Returns a percentile (0 to 100); undefined if there are too few samples. */
  computePercentile(
    service: ServiceId,
    percentile: number,
    now: MonotonicTime,
  ): Millis | undefined {
    const { current, previous } = this.#readWindow(service, now);
    const source = current.totalCount >= MIN_SAMPLES ? current : previous;
    if (source.totalCount < MIN_SAMPLES) return undefined;
    return source.getValueAtPercentile(percentile);
  }

  #readWindow(service: ServiceId, now: MonotonicTime): Window {
    const known = this.#windows.get(service);
    if (known === undefined) {
      const current = createHistogram();
      const window = { current, previous: createHistogram(), startedAt: now };
      this.#windows.set(service, window);
      return window;
    }
    if (now - known.startedAt >= WINDOW) {
      known.previous = known.current;
      known.current = createHistogram();
      known.startedAt = now;
    }
    return known;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MILLIS_PER_HOUR,
    numberOfSignificantValueDigits: 2,
  });
}
