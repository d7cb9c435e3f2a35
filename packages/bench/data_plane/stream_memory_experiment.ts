/** Measures the memory that each open stream takes in an entry VM. */
import { setTimeout as wait } from "node:timers/promises";
import { BYTES_PER_KIB } from "../../core/mod.ts";
import { measureHeap } from "../capacity/measure_calls.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { startStreams } from "./load_generator.ts";
import { ENTRY, FORWARDED, type LoadPath, startPaths } from "./paths.ts";

interface MemoryResult {
  readonly path: string;
  readonly streams: number;
  readonly opened: number;
  readonly failures: number;
  /** Growth of the intermediary's heap per stream, in bytes. */
  readonly heapPerStream: number;
  /** Growth of the process per stream, load generator and target included. */
  readonly processPerStream: number;
}

/**
 * The largest count stays below 20,000 open files: each stream through an
 * intermediary takes four in the process that holds load generator,
 * intermediary and target.
 */
const STREAM_COUNTS = [100, 1_000, 4_800];
const QUICK_STREAM_COUNTS = [200];
const CHUNKS = 100_000;
const CHUNK_PAUSE_MILLIS = 1_000;
const SETTLE_MILLIS = 500;
const MAX_KIB_PER_STREAM = 64;

/** The experiment as `anvilrail bench` runs it. */
export const streamMemoryExperiment: Experiment = {
  name: "stream-memory",
  description: "Memory of each open stream at 100, 1,000 and 4,800 streams",
  quick: true,
  run: runStreamMemory,
};

/**
 * Limit for streams that are forwarded to a second VM. They take six open files
 * each, since all ends of the connections are in one process.
 */
const MAX_FORWARDED_STREAMS = 3_000;

async function runStreamMemory(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const counts = options.quick ? QUICK_STREAM_COUNTS : STREAM_COUNTS;
  const results: MemoryResult[] = [];
  // Starts new servers for each count, so that memory that was freed after an
  // earlier count is not reused.
  for (const streams of counts) {
    const paths = await startPaths();
    const pathsInLimit = paths.list.filter((path) =>
      path.name !== FORWARDED || streams <= MAX_FORWARDED_STREAMS
    );
    for (const path of pathsInLimit) {
      options.log(`${streams} streams, ${path.name}`);
      results.push(await measurePath(path, streams));
    }
    await paths.stop();
  }
  const last = results.filter((each) => each.path === ENTRY).at(-1)!;
  const direct = results.find((each) =>
    each.path === "direct" && each.streams === last.streams
  )!;
  const addedPerStream = last.processPerStream - direct.processPerStream;
  // With few streams the growth of the process is too small to measure.
  const processGrowth = options.quick ? 0 : addedPerStream;
  const value = Math.max(processGrowth, last.heapPerStream) / BYTES_PER_KIB;
  return {
    tables: [createTable(results)],
    goals: [
      createAtMostGoal(`memory of one of ${last.streams} open streams`, {
        bound: MAX_KIB_PER_STREAM,
        unit: "KiB",
        value,
      }),
    ],
    notes: [
      "Load generator, middle (entry VM or pass-through proxy) and target are threads of one process. The goal compares the larger of two values per stream: the growth of the entry VM's heap, and the growth of the process beyond that of the direct path.",
      "5,000 streams would exceed the limit of 20,000 open files per process.",
    ],
  };
}

async function measurePath(
  path: LoadPath,
  streams: number,
): Promise<MemoryResult> {
  // Opens one stream first, so that one-time allocations are not counted.
  const warmUpStream = await startStreams(
    path.createStreams(CHUNKS, CHUNK_PAUSE_MILLIS),
    1,
  );
  const before = await readMemory(path);
  const streamsOpened = await startStreams(
    path.createStreams(CHUNKS, CHUNK_PAUSE_MILLIS),
    streams,
  );
  await wait(SETTLE_MILLIS);
  const after = await readMemory(path);
  await streamsOpened.close();
  await warmUpStream.close();
  return {
    path: path.name,
    streams,
    opened: streamsOpened.opened,
    failures: streamsOpened.failures,
    heapPerStream: (after.heap - before.heap) / streams,
    processPerStream: (after.process - before.process) / streams,
  };
}

async function readMemory(path: LoadPath) {
  const usage = await path.intermediary?.readUsage({ collect: true });
  measureHeap();
  return {
    heap: usage?.heapBytes ?? 0,
    process: process.memoryUsage.rss(),
  };
}

function createTable(results: readonly MemoryResult[]) {
  return {
    name: "memory",
    title: "Memory for each open stream",
    columns: [
      "path",
      "streams",
      "opened",
      "failures",
      "heap of the middle (KiB)",
      "whole process (KiB)",
    ],
    rows: results.map((each) => [
      each.path,
      each.streams,
      each.opened,
      each.failures,
      each.heapPerStream / BYTES_PER_KIB,
      each.processPerStream / BYTES_PER_KIB,
    ]),
  };
}
