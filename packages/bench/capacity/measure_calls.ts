/** Processor time and allocations of single calls. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** What one call costs. */
export interface CallCost {
  /** Median over batches, in microseconds. */
  readonly micros: number;
  /** Bytes allocated on the heap. */
  readonly bytes: number;
}

const MICROS_PER_MILLI = 1_000;

/** Bytes that may be allocated between two collections and be counted. */
const MAX_BYTES_BETWEEN_COLLECTIONS = 4_000_000;

/** How much is measured. */
export interface MeasurementEffort {
  readonly batches: number;
  /** Duration of a batch. */
  readonly batchMillis: number;
}

/** For figures that are kept. */
export const FULL_EFFORT: MeasurementEffort = { batches: 15, batchMillis: 4 };

/** For a look within seconds. */
export const QUICK_EFFORT: MeasurementEffort = { batches: 3, batchMillis: 1 };

/** Calls a function until it is compiled, then measures batches of calls. */
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

/** Returns the bytes on this thread's heap after a collection. */
export function measureHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Returns the median of some numbers; 0 when there are none. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? 0;
}

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
