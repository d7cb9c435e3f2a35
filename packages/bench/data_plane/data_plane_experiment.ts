/**
 * Measures the latency that the entry VM adds to requests and streams and the
 * throughput it reaches over loopback, compared with a minimal Node.js
 * pass-through proxy in the same run.
 */
import { computeMedian } from "../capacity/measure_calls.ts";
import {
  createAtLeastGoal,
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type FigureTable,
  type Goal,
} from "../report/experiment.ts";
import {
  type LoadResult,
  runClosedLoop,
  runOpenLoop,
} from "./load_generator.ts";
import {
  ENTRY,
  FORWARDED,
  type LoadPath,
  PASS_THROUGH,
  type PathBytes,
  startPaths,
} from "./paths.ts";

/** A measurement that is made on every path. */
interface PathMeasurement {
  readonly title: string;
  readonly run: (path: LoadPath) => Promise<LoadResult>;
  /** Creates goals that compare the entry VM with the pass-through proxy. */
  readonly createGoals: (entry: PathFigures, baseline: PathFigures) => Goal[];
}

/**
 * Results of one path in one measurement. After all rounds these are medians,
 * except for `failures`, which is the total.
 */
interface PathFigures {
  readonly path: string;
  readonly perSecond: number;
  readonly chunksPerSecond: number;
  /** Latency of requests, in ms. */
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  /**
   * Time from the sending of a chunk by the target until its arrival, in ms.
   */
  readonly chunkP50: number;
  readonly chunkP95: number;
  /** Event loop utilization of the intermediary, from 0 to 1. */
  readonly utilization: number;
  /** Bytes between the entry VMs and the store per request. */
  readonly storeBytes: number;
  /** Bytes between the entry VMs per request. */
  readonly peerBytes: number;
  readonly failures: number;
}

const FULL_ROUNDS = 3;
const CALLS_PER_SECOND = 200;
const CONNECTIONS = 512;
const PACED_STREAMS = 50;
const PACED_CHUNKS = 40;
const QUICK_PACED_CHUNKS = 12;
const CHUNK_PAUSE_MILLIS = 20;
const FAST_STREAMS = 64;
const FAST_CHUNKS = 200;

/** The experiment as `anvilrail bench` runs it. */
export const dataPlaneExperiment: Experiment = {
  name: "data-plane",
  description:
    "Added latency, throughput of calls and of streamed chunks, against a bare Node.js pass-through",
  quick: true,
  run: runDataPlane,
};

async function runDataPlane(options: ExperimentOptions) {
  const millis = options.quick ? 300 : 3_000;
  const rounds = options.quick ? 1 : FULL_ROUNDS;
  const paths = await startPaths();
  try {
    const list = options.quick
      ? paths.list.filter((path) => path.name !== FORWARDED)
      : paths.list;
    const tables: FigureTable[] = [];
    const goals: Goal[] = [];
    const chunks = options.quick ? QUICK_PACED_CHUNKS : PACED_CHUNKS;
    for (const each of createMeasurements(millis, chunks)) {
      options.log(each.title);
      const figures = await measurePaths(each, {
        list,
        rounds,
        readBytes: paths.readBytes,
      });
      tables.push(createTable(each.title, figures));
      goals.push(...createGoals(each, figures));
    }
    return { tables, goals };
  } finally {
    await paths.stop();
  }
}

function createMeasurements(
  millis: number,
  chunks: number,
): readonly PathMeasurement[] {
  return [
    {
      title: `calls at ${CALLS_PER_SECOND} a second`,
      run: (path) =>
        runOpenLoop(path.createCalls(), {
          perSecond: CALLS_PER_SECOND,
          millis,
        }),
      createGoals: createLatencyGoals,
    },
    {
      title: `calls without pause over ${CONNECTIONS} connections`,
      run: (path) =>
        runClosedLoop(path.createCalls(), { connections: CONNECTIONS, millis }),
      createGoals: (entry, baseline) => [
        createAtLeastGoal("calls/s as a share of the pass-through's", {
          bound: 0.6,
          unit: "",
          value: entry.perSecond / baseline.perSecond,
        }),
      ],
    },
    {
      title: `${PACED_STREAMS} streams, a chunk each ${CHUNK_PAUSE_MILLIS} ms`,
      run: (path) =>
        runClosedLoop(path.createStreams(chunks, CHUNK_PAUSE_MILLIS), {
          connections: PACED_STREAMS,
          millis,
        }),
      createGoals: createChunkGoals,
    },
    {
      title: `${FAST_STREAMS} streams without pause`,
      run: (path) =>
        runClosedLoop(path.createStreams(FAST_CHUNKS, 0), {
          connections: FAST_STREAMS,
          millis,
        }),
      createGoals: (entry, baseline) => [
        createAtLeastGoal("chunks/s as a share of the pass-through's", {
          bound: 0.7,
          unit: "",
          value: entry.chunksPerSecond / baseline.chunksPerSecond,
        }),
      ],
    },
  ];
}

/**
 * Measures the paths alternately in several rounds, so that a drift of the
 * machine's speed affects all paths equally.
 */
async function measurePaths(
  { run }: PathMeasurement,
  options: {
    readonly list: readonly LoadPath[];
    readonly rounds: number;
    readonly readBytes: () => PathBytes;
  },
): Promise<PathFigures[]> {
  const { list, rounds, readBytes } = options;
  const results = new Map<string, PathFigures[]>();
  for (let round = 0; round <= rounds; round++) {
    for (const path of list) {
      await path.intermediary?.readUsage({ collect: false });
      const before = readBytes();
      const result = await run(path);
      const bytes = subtractBytes(readBytes(), before);
      const usage = await path.intermediary?.readUsage({ collect: false });
      // The first round only warms up the code.
      if (round === 0) continue;
      const utilization = usage?.utilization ?? 0;
      const figures = computeFigures(path, { result, utilization, bytes });
      results.set(path.name, [...results.get(path.name) ?? [], figures]);
    }
  }
  return [...results.values()].map(computeMedians);
}

function subtractBytes(after: PathBytes, before: PathBytes): PathBytes {
  return {
    store: after.store - before.store,
    peers: after.peers - before.peers,
  };
}

function computeFigures(
  path: LoadPath,
  input: {
    readonly result: LoadResult;
    readonly utilization: number;
    readonly bytes: PathBytes;
  },
): PathFigures {
  const { result, utilization, bytes } = input;
  const latency = result.latency.readSummary();
  const chunk = result.chunkLatency.readSummary();
  return {
    path: path.name,
    perSecond: result.requests / result.seconds,
    chunksPerSecond: result.chunks / result.seconds,
    p50: latency.p50,
    p95: latency.p95,
    p99: latency.p99,
    chunkP50: chunk.p50,
    chunkP95: chunk.p95,
    utilization,
    storeBytes: bytes.store / result.requests,
    peerBytes: bytes.peers / result.requests,
    failures: result.failures,
  };
}

function computeMedians(rounds: readonly PathFigures[]): PathFigures {
  const computeMedianOf = (read: (figures: PathFigures) => number) =>
    computeMedian(rounds.map(read));
  return {
    path: rounds[0]!.path,
    perSecond: computeMedianOf((each) => each.perSecond),
    chunksPerSecond: computeMedianOf((each) => each.chunksPerSecond),
    p50: computeMedianOf((each) => each.p50),
    p95: computeMedianOf((each) => each.p95),
    p99: computeMedianOf((each) => each.p99),
    chunkP50: computeMedianOf((each) => each.chunkP50),
    chunkP95: computeMedianOf((each) => each.chunkP95),
    utilization: computeMedianOf((each) => each.utilization),
    storeBytes: computeMedianOf((each) => each.storeBytes),
    peerBytes: computeMedianOf((each) => each.peerBytes),
    failures: rounds.reduce((sum, each) => sum + each.failures, 0),
  };
}

function createTable(
  title: string,
  figures: readonly PathFigures[],
): FigureTable {
  return {
    name: "paths",
    title,
    columns: [
      "path",
      "requests/s",
      "chunks/s",
      "p50 (ms)",
      "p95 (ms)",
      "p99 (ms)",
      "chunk p50 (ms)",
      "chunk p95 (ms)",
      "busy share of its core",
      "store bytes/request",
      "peer bytes/request",
      "failures",
    ],
    rows: figures.map((each) => [
      each.path,
      each.perSecond,
      each.chunksPerSecond,
      each.p50,
      each.p95,
      each.p99,
      each.chunkP50,
      each.chunkP95,
      each.utilization,
      each.storeBytes,
      each.peerBytes,
      each.failures,
    ]),
  };
}

function createGoals(
  run: PathMeasurement,
  figures: readonly PathFigures[],
): Goal[] {
  const entry = figures.find((each) => each.path === ENTRY);
  const baseline = figures.find((each) => each.path === PASS_THROUGH);
  if (entry === undefined || baseline === undefined) return [];
  const failures = createAtMostGoal(`failed requests: ${run.title}`, {
    bound: 0,
    unit: "",
    value: entry.failures,
  });
  return [...run.createGoals(entry, baseline), failures];
}

function createLatencyGoals(entry: PathFigures, baseline: PathFigures): Goal[] {
  return [
    createAtMostGoal("added latency of a call, p50", {
      bound: 1,
      unit: "ms",
      value: entry.p50 - baseline.p50,
    }),
    createAtMostGoal("added latency of a call, p95", {
      bound: 3,
      unit: "ms",
      value: entry.p95 - baseline.p95,
    }),
  ];
}

function createChunkGoals(entry: PathFigures, baseline: PathFigures): Goal[] {
  return [
    createAtMostGoal("added latency of a chunk, p50", {
      bound: 1,
      unit: "ms",
      value: entry.chunkP50 - baseline.chunkP50,
    }),
    createAtMostGoal("added latency of a chunk, p95", {
      bound: 3,
      unit: "ms",
      value: entry.chunkP95 - baseline.chunkP95,
    }),
  ];
}
