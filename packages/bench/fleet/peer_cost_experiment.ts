/** Measures the traffic between idle daemons by the size of the fleet. */
import { setTimeout as wait } from "node:timers/promises";
import { BYTES_PER_KIB } from "../../core/mod.ts";
import { computeMedian } from "../capacity/measure_calls.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { startFleet } from "./fleet_threads.ts";

interface PeerCostResult {
  readonly vms: number;
  /** Bytes sent and received by one daemon to and from its peers. */
  readonly bytesPerSecond: number;
  /** Median event loop utilization of the daemons, from 0 to 1. */
  readonly utilization: number;
}

const FLEET_SIZES = [1, 2, 4, 8];
const QUICK_SIZES = [3];
const WARM_UP_MILLIS = 8_000;
const MEASURED_MILLIS = 20_000;
const QUICK_MILLIS = 2_000;
const MAX_KIB_PER_SECOND = 2;

/** The experiment as `anvilrail bench` runs it. */
export const peerCostExperiment: Experiment = {
  name: "peer-cost",
  description:
    "Bytes between daemons at rest and their processor time, by their number",
  quick: true,
  run: runPeerCost,
};

async function runPeerCost(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const results: PeerCostResult[] = [];
  for (const vms of options.quick ? QUICK_SIZES : FLEET_SIZES) {
    options.log(`${vms} daemons`);
    results.push(await measureFleet(vms, options.quick));
  }
  const last = results.at(-1)!;
  return {
    tables: [createTable(results)],
    goals: [
      createAtMostGoal(`bytes to and from peers at ${last.vms} daemons`, {
        bound: MAX_KIB_PER_SECOND,
        unit: "KiB a second",
        value: last.bytesPerSecond / BYTES_PER_KIB,
      }),
    ],
    notes: [
      "Bytes are those of HTTP, headers included; each exchange counts at both ends.",
    ],
  };
}

async function measureFleet(
  count: number,
  quick: boolean,
): Promise<PeerCostResult> {
  const fleet = await startFleet(count);
  await wait(quick ? QUICK_MILLIS : WARM_UP_MILLIS);
  for (const vm of fleet.vms) await vm.thread.readUsage({ collect: false });
  const before = fleet.vms.map((vm) => vm.counter.readBytes());
  const millis = quick ? QUICK_MILLIS : MEASURED_MILLIS;
  await wait(millis);
  const bytes = fleet.vms.reduce(
    (sum, vm, index) => sum + vm.counter.readBytes() - before[index]!,
    0,
  );
  const utilizations: number[] = [];
  for (const vm of fleet.vms) {
    utilizations.push(
      (await vm.thread.readUsage({ collect: false })).utilization,
    );
  }
  await fleet.stop();
  return {
    vms: count,
    bytesPerSecond: 2 * bytes / count * 1_000 / millis,
    utilization: computeMedian(utilizations),
  };
}

function createTable(results: readonly PeerCostResult[]) {
  return {
    name: "peers",
    title: "Daemons at rest",
    columns: [
      "daemons",
      "bytes/s to and from peers, each",
      "share of a core, each (%)",
    ],
    rows: results.map((each) => [
      each.vms,
      each.bytesPerSecond,
      100 * each.utilization,
    ]),
  };
}
