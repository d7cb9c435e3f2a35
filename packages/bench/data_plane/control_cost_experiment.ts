/** Measures the cost of an idle daemon by the size of its configuration. */
import { setTimeout as wait } from "node:timers/promises";
import { BYTES_PER_KIB, BYTES_PER_MIB } from "../../core/mod.ts";
import {
  type FleetSize,
  PLANNED_FLEET_SIZE,
} from "../capacity/sample_fleet.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { startByteCounter } from "./byte_counter.ts";
import { ServerRole, startServerThread } from "./server_thread.ts";

interface IdleResult {
  readonly size: FleetSize;
  readonly utilization: number;
  readonly heapBytes: number;
  readonly storeBytesPerSecond: number;
  readonly targetBytesPerSecond: number;
}

const SIZES: readonly FleetSize[] = [
  { targets: 12, budgets: 10, customers: 10, services: 1, regions: 1 },
  { targets: 120, budgets: 1_000, customers: 200, services: 3, regions: 2 },
  PLANNED_FLEET_SIZE,
];

const WARM_UP_MILLIS = 3_000;
const MEASURED_MILLIS = 15_000;
const QUICK_MILLIS = 1_000;

/** Planned limits for the control overhead of one VM. */
const MAX_UTILIZATION_PERCENT = 1.3;
const MAX_HEAP_MIB = 128;
const MAX_KIB_PER_SECOND = 2;

/** The experiment as `anvilrail bench` runs it. */
export const controlCostExperiment: Experiment = {
  name: "control-cost",
  description:
    "Processor time, heap and bytes of one daemon without requests, by the size of its configuration",
  quick: true,
  run: runControlCost,
};

async function runControlCost(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const results: IdleResult[] = [];
  const sizes = options.quick ? [SIZES[0]!, PLANNED_FLEET_SIZE] : SIZES;
  for (const size of sizes) {
    options.log(`${size.targets} targets, ${size.budgets} budgets`);
    results.push(await measureIdle(size, options.quick));
  }
  const last = results.at(-1)!;
  return {
    tables: [createTable(results)],
    goals: [
      createAtMostGoal("control at the plan's size: share of a core", {
        bound: MAX_UTILIZATION_PERCENT,
        unit: "%",
        value: 100 * last.utilization,
      }),
      createAtMostGoal("control at the plan's size: heap", {
        bound: MAX_HEAP_MIB,
        unit: "MiB",
        value: last.heapBytes / BYTES_PER_MIB,
      }),
      createAtMostGoal(
        "control at the plan's size: bytes to store and targets",
        {
          bound: MAX_KIB_PER_SECOND,
          unit: "KiB a second",
          value: (last.storeBytesPerSecond + last.targetBytesPerSecond) /
            BYTES_PER_KIB,
        },
      ),
    ],
    notes: [
      "One daemon without peers and without requests; only its own thread is measured. Bytes are those of HTTP in both directions on the loopback interface.",
    ],
  };
}

async function measureIdle(
  size: FleetSize,
  quick: boolean,
): Promise<IdleResult> {
  const target = await startServerThread({ role: ServerRole.Target });
  const table = await startServerThread({ role: ServerRole.Table });
  const targetCounter = await startByteCounter(
    Number(new URL(target.url).port),
  );
  const tableCounter = await startByteCounter(Number(new URL(table.url).port));
  const entry = await startServerThread({
    role: ServerRole.Entry,
    targetUrl: `http://${targetCounter.address}`,
    tableUrl: `http://${tableCounter.address}`,
    size,
  });
  await wait(quick ? QUICK_MILLIS : WARM_UP_MILLIS);
  await entry.readUsage({ collect: false });
  const targetBytes = targetCounter.readBytes();
  const tableBytes = tableCounter.readBytes();
  const millis = quick ? QUICK_MILLIS : MEASURED_MILLIS;
  await wait(millis);
  const { utilization } = await entry.readUsage({ collect: false });
  const { heapBytes } = await entry.readUsage({ collect: true });
  const result = {
    size,
    utilization,
    heapBytes,
    storeBytesPerSecond: (tableCounter.readBytes() - tableBytes) * 1_000 /
      millis,
    targetBytesPerSecond: (targetCounter.readBytes() - targetBytes) * 1_000 /
      millis,
  };
  for (const thread of [entry, table, target]) await thread.stop();
  await targetCounter.stop();
  await tableCounter.stop();
  return result;
}

function createTable(results: readonly IdleResult[]) {
  return {
    name: "rest",
    title: "A daemon at rest",
    columns: [
      "targets",
      "budgets",
      "customers",
      "share of a core (%)",
      "heap (MiB)",
      "store (bytes/s)",
      "targets (bytes/s)",
    ],
    rows: results.map((each) => [
      each.size.targets,
      each.size.budgets,
      each.size.customers,
      100 * each.utilization,
      each.heapBytes / BYTES_PER_MIB,
      each.storeBytesPerSecond,
      each.targetBytesPerSecond,
    ]),
  };
}
