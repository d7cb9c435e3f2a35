/** Measures elapsed time and heap allocations of single calls. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Cost of one call. */
export interface CallCost {
  /** Median time over batches, in microseconds. */
  readonly micros: number;
  /** Median of the bytes allocated on the heap. */
  readonly bytes: number;
}

const MICROS_PER_MILLI = 1_000;

/**
 * Limit of the bytes that a measurement may allocate. With more, the garbage
 * collector could run in between and hide allocations.
 */
const MAX_BYTES_BETWEEN_COLLECTIONS = 4_000_000;

/** Number and duration of the measured batches. */
export interface MeasurementEffort {
  readonly batches: number;
  /** Minimum duration of a batch. */
  readonly batchMillis: number;
}

/** Effort of full runs, whose figures are kept. */
export const FULL_EFFORT: MeasurementEffort = { batches: 15, batchMillis: 4 };

/** Effort of quick runs, which take seconds. */
export const QUICK_EFFORT: MeasurementEffort = { batches: 3, batchMillis: 1 };

/**
 * Warms a function up, so that it is compiled, then measures batches of calls.
 */
export function measureCalls(
  call: () => unknown,
  effort: MeasurementEffort = FULL_EFFORT,
): CallCost {
  const { batches, batchMillis } = effort;
  const calls = findBatchSize(call, batchMillis);
  for (let batch = 0; batch < batches; batch++) measureTime(call, calls);
  const times = Array.from({ length: batches }, () => measureTime(call, calls));
  const micros = computeMedian(times) * MICROS_PER_MILLI / calls;
  return { micros, bytes: measureBytes(call, batches) };
}

/** Collects garbage and returns the bytes in use on this thread's heap. */
export function measureHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Returns the median (the upper one of an even count), or 0 if empty. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? 0;
}

/** Returns a number of calls that takes at least `batchMillis`. */
function findBatchSize(call: () => unknown, batchMillis: number): number {
  let calls = 8;
  for (;;) {
    const time = measureTime(call, calls);
    if (time >= batchMillis) return calls;
    calls = Math.ceil(calls * Math.min(8, batchMillis * 1.2 / (time + 0.01)));
  }
}

function measureTime(call: () => unknown, calls: number): number {
  const start = performance.now();
  for (let count = 0; count < calls; count++) call();
  return performance.now() - start;
}

/**
 * Raises the number of calls until the allocations are large enough to measure
 * and returns the median per call.
 */
function measureBytes(call: () => unknown, samples: number): number {
  let calls = 64;
  for (;;) {
    const bytes = measureHeapGrowth(call, calls);
    if (bytes >= MAX_BYTES_BETWEEN_COLLECTIONS / 4 || calls >= 20_000) {
      const growths = Array.from(
        { length: samples },
        () => measureHeapGrowth(call, calls) / calls,
      );
      return Math.max(0, Math.round(computeMedian(growths)));
    }
    calls *= 4;
  }
}

function measureHeapGrowth(call: () => unknown, calls: number): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let count = 0; count < calls; count++) call();
  return process.memoryUsage().heapUsed - before;
}

let runGarbageCollection: (() => void) | undefined;

function collectGarbage(): void {
  if (runGarbageCollection === undefined) {
    setFlagsFromString("--expose-gc");
    runGarbageCollection = runInNewContext("gc") as () => void;
  }
  runGarbageCollection();
}
