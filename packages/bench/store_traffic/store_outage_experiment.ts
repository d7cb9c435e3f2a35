/** Measures the effects of a store outage on the fleet, and its recovery. */
import { MILLIS_PER_SECOND, type MonotonicTime } from "../../core/mod.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import type { SecondCounts } from "./row_meter.ts";
import {
  STORE_WRITES_PER_SECOND,
  StoreLayout,
  TrafficFleet,
} from "./traffic_fleet.ts";

/** One way to write to the store. */
interface OutageCase {
  readonly name: string;
  readonly layout: StoreLayout;
  readonly maxBillRowsInFlight: number;
  /** Time between two batches of bills of a VM, in milliseconds. */
  readonly billInterval: number;
}

/** Results of one case with one number of entry VMs. */
interface OutageResult {
  readonly name: string;
  /** Number of entry VMs. */
  readonly entries: number;
  readonly refusedClaims: number;
  readonly refusedTokens: number;
  readonly requests: number;
  /** Store operations that wait when the outage ends. */
  readonly waitingAtEnd: number;
  /** Mean calls per second before the outage. */
  readonly callsBefore: number;
  /** Mean calls per second during the outage. */
  readonly callsDuring: number;
  /** Calls in the busiest second from the end of the outage to the recovery. */
  readonly peakCallsAfter: number;
  readonly throttledAfter: number;
  readonly recoverySeconds: number;
}

const CASES: readonly OutageCase[] = [
  {
    name: "bills each 20 ms",
    layout: StoreLayout.Rows,
    maxBillRowsInFlight: Infinity,
    billInterval: 20,
  },
  {
    name: "100 rows of bills a second in all",
    layout: StoreLayout.Rows,
    maxBillRowsInFlight: 1,
    billInterval: 160,
  },
  {
    name: "logs (proposal)",
    layout: StoreLayout.Logs,
    maxBillRowsInFlight: 1,
    billInterval: 100,
  },
];

const ENTRY_COUNTS = [8, 16];
const REQUESTS_PER_ENTRY = 10;
/** Share of the requests that must not be repeated. */
const ONCE_SHARE = 0.05;

/**
 * Number of waiting operations per entry VM up to which the fleet counts as
 * recovered; a few operations also wait without an outage.
 */
const MAX_WAITING_PER_ENTRY = 3;

/** The experiment that `anvilrail bench` runs. */
export const storeOutageExperiment: Experiment = {
  name: "store-outage",
  description:
    "The table stops for ten minutes and comes back: what waits, what is refused, how the calls return",
  quick: true,
  run: runStoreOutage,
};

async function runStoreOutage(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const results: OutageResult[] = [];
  for (const each of CASES) {
    for (const entries of options.quick ? [8] : ENTRY_COUNTS) {
      options.log(`${each.name}, ${entries} entries`);
      results.push(await runCase(each, { ...options, entries }));
    }
  }
  return {
    tables: [createTable(results)],
    goals: results.map((each) =>
      createAtMostGoal(
        `calls in the busiest second after the outage: ${each.name}, ${each.entries} entries`,
        {
          bound: STORE_WRITES_PER_SECOND,
          unit: "a second",
          value: each.peakCallsAfter,
        },
      )
    ),
    notes: [
      "Tokens are refused where a VM's grant runs out in the outage; claims are refused as not run after their deadline. Nothing that was admitted is lost: it waits.",
    ],
  };
}

async function runCase(
  { name, ...layout }: OutageCase,
  options: ExperimentOptions & { readonly entries: number },
): Promise<OutageResult> {
  const { entries, seed, quick } = options;
  const scale = (quick ? 0.1 : 1) * MILLIS_PER_SECOND;
  const start = 300 * scale;
  const end = start + 600 * scale;
  const finish = end + 300 * scale;
  const fleet = new TrafficFleet({
    ...layout,
    seed,
    entries,
    duration: finish,
    onceShare: ONCE_SHARE,
    requestsPerEntry: REQUESTS_PER_ENTRY,
    outages: [{ start, end }],
  });
  await fleet.clock.runUntil(end);
  const waitingAtEnd = fleet.countWaiting();
  const recovered = await runUntilRecovered(fleet, { entries, finish });
  const during = fleet.meter.listSeconds(start, end);
  const after = fleet.meter.listSeconds(end, recovered);
  const counts = fleet.readCounts();
  return {
    name,
    entries,
    refusedClaims: counts.withoutClaim,
    refusedTokens: counts.withoutTokens,
    requests: counts.requests,
    waitingAtEnd,
    callsBefore: computeMeanCalls(fleet.meter.listSeconds(start / 2, start)),
    callsDuring: computeMeanCalls(during),
    peakCallsAfter: Math.max(...after.map((each) => each.calls)),
    throttledAfter: after.reduce((sum, each) => sum + each.throttled, 0),
    recoverySeconds: (recovered - end) / MILLIS_PER_SECOND,
  };
}

/**
 * Runs the fleet until its queues are short again, but at most until `finish`,
 * and returns the time reached.
 */
async function runUntilRecovered(
  fleet: TrafficFleet,
  input: { readonly entries: number; readonly finish: MonotonicTime },
): Promise<MonotonicTime> {
  const { clock } = fleet;
  while (clock.readMonotonic() < input.finish) {
    await clock.runUntil(clock.readMonotonic() + MILLIS_PER_SECOND);
    if (fleet.countWaiting() <= input.entries * MAX_WAITING_PER_ENTRY) break;
  }
  return clock.readMonotonic();
}

function computeMeanCalls(seconds: readonly SecondCounts[]): number {
  const sum = seconds.reduce((total, each) => total + each.calls, 0);
  return sum / Math.max(1, seconds.length);
}

function createTable(results: readonly OutageResult[]) {
  return {
    name: "outage",
    title: "A stop of the table",
    columns: [
      "layout",
      "entries",
      "requests",
      "refused for want of tokens",
      "refused for want of a claim",
      "operations waiting at its end",
      "calls/s before",
      "calls/s during",
      "calls in the busiest second after",
      "throttled calls after",
      "seconds until the queues are short",
    ],
    rows: results.map((each) => [
      each.name,
      each.entries,
      each.requests,
      each.refusedTokens,
      each.refusedClaims,
      each.waitingAtEnd,
      each.callsBefore,
      each.callsDuring,
      each.peakCallsAfter,
      each.throttledAfter,
      each.recoverySeconds,
    ]),
  };
}
