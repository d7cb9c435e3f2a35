/**
 * Measures the rows that the fleet reads and writes in a store that takes 300
 * writes and 2,000 reads a second, by number of entry VMs and layout of rows,
 * and extrapolates the writes to the 380 entry VMs of the planned fleet.
 */
import { MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  PLANNED_FLEET_SIZE,
  PLANNED_MEMBER_COUNT,
} from "../capacity/sample_fleet.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import type { SecondCounts } from "./row_meter.ts";
import {
  ENTRIES_PER_REGION,
  STORE_WRITES_PER_SECOND,
  StoreLayout,
  TrafficFleet,
} from "./traffic_fleet.ts";

/** Rows written per second, by key prefix. */
type RowRates = Readonly<Record<string, number>>;

/** One way to write to the store. */
interface LayoutCase {
  readonly name: string;
  readonly layout: StoreLayout;
  readonly maxBillRowsInFlight: number;
  /** Returns the time between two batches of bills of a VM, in milliseconds. */
  readonly computeBillInterval: (entries: number) => number;
  /** Extrapolates the rates to rows per second at the planned fleet's size. */
  readonly extrapolate: (rates: RowRates, entries: number) => number;
}

/** Results of one case; rates are per second. */
interface CaseResult {
  readonly name: string;
  /** Number of entry VMs. */
  readonly entries: number;
  /** Share of the requests that must not be repeated. */
  readonly onceShare: number;
  readonly written: number;
  readonly read: number;
  readonly rates: RowRates;
  /** Rows written per second at the planned fleet's size. */
  readonly extrapolated: number;
  readonly throttled: number;
  /** Store operations that wait at the end. */
  readonly waiting: number;
  readonly claimP95: number;
  readonly grantP95: number;
  /** Share of the requests that got no tokens or no claim in time. */
  readonly refusedShare: number;
}

const ENTRY_COUNTS = [8, 16, 32];
const QUICK_COUNTS = [8, 16];

/** Requests per second for each entry VM: 7,000 over 380 entry VMs. */
const REQUESTS_PER_ENTRY = 18.4;

const CASES: readonly LayoutCase[] = [
  {
    name: "bills each 20 ms",
    layout: StoreLayout.Rows,
    maxBillRowsInFlight: Infinity,
    computeBillInterval: () => 20,
    extrapolate: (rates, entries) =>
      sumRates(rates) * PLANNED_MEMBER_COUNT / entries,
  },
  {
    name: "100 rows of bills a second in all",
    layout: StoreLayout.Rows,
    maxBillRowsInFlight: 1,
    computeBillInterval: (entries) => Math.max(100, 10 * entries),
    extrapolate: ({ bills = 0, ...rest }, entries) =>
      sumRates(rest) * PLANNED_MEMBER_COUNT / entries + Math.max(bills, 100),
  },
  {
    name: "logs (proposal)",
    layout: StoreLayout.Logs,
    maxBillRowsInFlight: 1,
    computeBillInterval: () => 100,
    extrapolate: ({ log = 0, ...rest }, entries) =>
      sumRates(rest) * PLANNED_MEMBER_COUNT / entries +
      log * PLANNED_FLEET_SIZE.regions /
        Math.ceil(entries / ENTRIES_PER_REGION),
  },
];

const ONCE_SHARES = [0.01, 0.15];

const PREFIXES = ["budget", "claim", "bills", "log", "vm"];

/** The experiment that measures traffic without store outages. */
export const storeTrafficExperiment: Experiment = {
  name: "store-traffic",
  description:
    "Rows written and read at 8, 16 and 32 entry VMs against 300 writes and 2,000 reads a second",
  quick: true,
  run: runStoreTraffic,
};

async function runStoreTraffic(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const results: CaseResult[] = [];
  for (const each of CASES) {
    for (const onceShare of ONCE_SHARES) {
      for (const entries of options.quick ? QUICK_COUNTS : ENTRY_COUNTS) {
        options.log(`${each.name}, ${entries} entries, once ${onceShare}`);
        results.push(await runCase(each, { ...options, entries, onceShare }));
      }
    }
  }
  return {
    tables: [createTable(results)],
    plots: [createPlot(results)],
    goals: CASES.flatMap((each) =>
      ONCE_SHARES.map((share) => createGoal(each, share, results))
    ),
    notes: [
      "Rows written are what the table took: where calls are throttled, the fleet asked for more.",
      "The figure at 380 carries each prefix on by the number of entries, bills and logs by what bounds them; only the figures of rows where nothing was throttled are good for it.",
    ],
  };
}

async function runCase(
  layoutCase: LayoutCase,
  options: ExperimentOptions & {
    readonly entries: number;
    readonly onceShare: number;
  },
): Promise<CaseResult> {
  const { entries, onceShare, seed, quick } = options;
  const warmUp = (quick ? 10 : 300) * MILLIS_PER_SECOND;
  const duration = warmUp + (quick ? 10 : 120) * MILLIS_PER_SECOND;
  const fleet = new TrafficFleet({
    seed,
    entries,
    layout: layoutCase.layout,
    billInterval: layoutCase.computeBillInterval(entries),
    maxBillRowsInFlight: layoutCase.maxBillRowsInFlight,
    duration,
    onceShare,
    requestsPerEntry: REQUESTS_PER_ENTRY,
  });
  await fleet.clock.runUntil(warmUp);
  fleet.meter.startPrefixCounts();
  await fleet.clock.runUntil(duration);
  const seconds = fleet.meter.listSeconds(warmUp, duration);
  const counts = fleet.readCounts();
  const rates = Object.fromEntries(PREFIXES.map((prefix) => [
    prefix,
    fleet.meter.readWritten(prefix) / seconds.length,
  ]));
  return {
    name: layoutCase.name,
    entries,
    onceShare,
    written: computeMean(seconds, (each) => each.written),
    read: computeMean(seconds, (each) => each.read),
    rates,
    extrapolated: layoutCase.extrapolate(rates, entries),
    throttled: computeMean(seconds, (each) => each.throttled),
    waiting: fleet.countWaiting(),
    claimP95: fleet.claimWaits.computePercentile(95),
    grantP95: fleet.grantWaits.computePercentile(95),
    refusedShare: (counts.withoutClaim + counts.withoutTokens) /
      counts.requests,
  };
}

function createTable(results: readonly CaseResult[]) {
  return {
    name: "steady",
    title:
      `Rows a second, ${REQUESTS_PER_ENTRY} requests a second for each entry`,
    columns: [
      "layout",
      "once share",
      "entries",
      "written/s",
      "read/s",
      ...PREFIXES.map((prefix) => `${prefix}/s`),
      "throttled calls/s",
      "waiting at the end",
      "claim wait p95 (ms)",
      "grant wait p95 (ms)",
      "share refused for want of the store",
      `written/s at ${PLANNED_MEMBER_COUNT}`,
    ],
    rows: results.map((each) => [
      each.name,
      each.onceShare,
      each.entries,
      each.written,
      each.read,
      ...PREFIXES.map((prefix) => each.rates[prefix] ?? 0),
      each.throttled,
      each.waiting,
      each.claimP95,
      each.grantP95,
      each.refusedShare,
      each.extrapolated,
    ]),
  };
}

function createPlot(results: readonly CaseResult[]) {
  return {
    name: "written",
    title: `Rows written a second (the table takes ${STORE_WRITES_PER_SECOND})`,
    xTitle: "entry VMs",
    yTitle: "rows written a second",
    points: results.map((each) => ({
      series: `${each.name}, once ${each.onceShare}`,
      x: each.entries,
      y: each.written,
    })),
  };
}

function createGoal(
  { name }: LayoutCase,
  onceShare: number,
  results: readonly CaseResult[],
) {
  const first = results.find((each) =>
    each.name === name && each.onceShare === onceShare
  )!;
  return createAtMostGoal(
    `rows written at ${PLANNED_MEMBER_COUNT} entries: ${name}, once ${onceShare}`,
    {
      bound: STORE_WRITES_PER_SECOND,
      unit: "a second",
      value: first.extrapolated,
    },
  );
}

function sumRates(rates: RowRates): number {
  return Object.values(rates).reduce((sum, rate) => sum + rate, 0);
}

function computeMean(
  seconds: readonly SecondCounts[],
  read: (second: SecondCounts) => number,
): number {
  const sum = seconds.reduce((total, each) => total + read(each), 0);
  return sum / Math.max(1, seconds.length);
}
