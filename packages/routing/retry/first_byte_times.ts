/** Learned percentiles of the time to the first byte, by service. */
import { build, type Histogram } from "hdr-histogram-js";
import {
  type Millis,
  MILLIS_PER_HOUR,
  type MonotonicTime,
  type ServiceId,
} from "../../core/mod.ts";

const WINDOW: Millis = 60_000;

/** Samples that a percentile needs to mean anything. */
const LEAST_SAMPLES = 100;

interface Window {
  current: Histogram;
  previous: Histogram;
  startedAt: MonotonicTime;
}

/** Times of the last one to two minutes. */
export class FirstByteTimes {
  readonly #windows = new Map<ServiceId, Window>();

  /** Records one attempt's time to its first byte. */
  record(service: ServiceId, time: Millis, now: MonotonicTime): void {
    const window = this.#readWindow(service, now);
    window.current.recordValue(Math.min(MILLIS_PER_HOUR, Math.round(time)));
  }

  /** Returns a percentile between 0 and 100; undefined while little is known. */
  compute(
    service: ServiceId,
    percentile: number,
    now: MonotonicTime,
  ): Millis | undefined {
    const { current, previous } = this.#readWindow(service, now);
    const source = current.totalCount >= LEAST_SAMPLES ? current : previous;
    if (source.totalCount < LEAST_SAMPLES) return undefined;
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
