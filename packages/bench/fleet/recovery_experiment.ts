/**
 * Measures failures and latency of calls at the surviving VMs when one, two or
 * half of the VMs fail at once, and the time until all survivors detect it.
 */
import { setTimeout as wait } from "node:timers/promises";
import { BenchKind, formatBenchEvent } from "../data_plane/entry_server.ts";
import {
  type LoadResult,
  type RequestTemplate,
  runOpenLoop,
} from "../data_plane/load_generator.ts";
import { CALL_BODY, createEntryLoad } from "../data_plane/paths.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import {
  type FleetVm,
  readDump,
  type RunningFleet,
  startFleet,
  stopVm,
} from "./fleet_threads.ts";

interface RecoveryResult {
  readonly vms: number;
  readonly killed: number;
  /** Seconds from the failure until no survivor sees a failed VM as live. */
  readonly detectionSeconds: number;
  readonly before: LoadResult;
  readonly during: LoadResult;
  readonly after: LoadResult;
}

const FLEET_SIZE = 8;
const QUICK_SIZE = 4;
const CALLS_PER_SECOND = 100;
const LOAD_MILLIS = 5_000;
const DURING_MILLIS = 10_000;
const SETTLE_MILLIS = 5_000;

/** Factor for these durations in a quick run. */
const QUICK_SCALE = 0.25;
const POLL_MILLIS = 100;
const MAX_WAIT_MILLIS = 60_000;
const MAX_DETECTION_SECONDS = 10;

/** The experiment as `anvilrail bench` runs it. */
export const recoveryExperiment: Experiment = {
  name: "recovery",
  description:
    "Calls at the survivors when one, two and half of the VMs are lost at once",
  quick: true,
  run: runRecovery,
};

async function runRecovery(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const size = options.quick ? QUICK_SIZE : FLEET_SIZE;
  const losses = options.quick ? [size / 2] : [1, 2, size / 2];
  const results: RecoveryResult[] = [];
  for (const killed of losses) {
    options.log(`${killed} of ${size} VMs are lost`);
    const scale = options.quick ? QUICK_SCALE : 1;
    results.push(await measureLoss({ size, killed, scale }));
  }
  return {
    tables: [createTable(results)],
    goals: results.map((each) =>
      createAtMostGoal(
        `survivors know of the loss of ${each.killed} of ${each.vms}`,
        {
          bound: MAX_DETECTION_SECONDS,
          unit: "s",
          value: each.detectionSeconds,
        },
      )
    ),
    notes: [
      "Calls go to the survivors only, as from a load balancer that has detected the failure; they include events whose home VM failed. One load runs before the VMs fail, one starts when they fail, and one follows.",
    ],
  };
}

async function measureLoss(input: {
  readonly size: number;
  readonly killed: number;
  readonly scale: number;
}): Promise<RecoveryResult> {
  const { size, killed, scale } = input;
  const fleet = await startFleet(size);
  await wait(SETTLE_MILLIS * scale);
  const survivors = fleet.vms.slice(killed);
  const dead = fleet.vms.slice(0, killed).map((vm) => vm.vm);
  const load = createRoundRobinLoad(survivors);
  const perSecond = CALLS_PER_SECOND;
  const millis = LOAD_MILLIS * scale;
  const before = await runOpenLoop(load, { perSecond, millis });
  await killVms(fleet, killed);
  const [detectionSeconds, during] = await Promise.all([
    waitUntilDetected(survivors, dead),
    runOpenLoop(load, { perSecond, millis: DURING_MILLIS * scale }),
  ]);
  const after = await runOpenLoop(load, { perSecond, millis });
  await fleet.stop();
  return {
    vms: size,
    killed,
    detectionSeconds: detectionSeconds,
    before,
    during,
    after,
  };
}

async function killVms(fleet: RunningFleet, killed: number): Promise<void> {
  await Promise.all(fleet.vms.splice(0, killed).map(stopVm));
}

async function waitUntilDetected(
  survivors: readonly FleetVm[],
  dead: readonly string[],
): Promise<number> {
  const start = performance.now();
  while (performance.now() - start < MAX_WAIT_MILLIS) {
    const views = await Promise.all(
      survivors.map((vm) => readDump(vm, "members")),
    );
    if (!views.some((view) => isBelievedLive(view, dead))) break;
    await wait(POLL_MILLIS);
  }
  return (performance.now() - start) / 1_000;
}

function isBelievedLive(view: unknown, dead: readonly string[]): boolean {
  const members = view as readonly { vm: string; state: string }[];
  return members.some(({ vm, state }) => dead.includes(vm) && state === "live");
}

/** Returns calls that cycle through all events and all of the VMs. */
function createRoundRobinLoad(vms: readonly FleetVm[]): RequestTemplate {
  const loads = vms.map((vm) =>
    createEntryLoad(
      { url: vm.thread.url, event: "" },
      BenchKind.Lookup,
      CALL_BODY,
    )
  );
  return {
    url: loads[0]!.url,
    chooseUrl: (index) => loads[index % loads.length]!.url,
    headers: loads[0]!.headers,
    createBody: () => CALL_BODY,
    createHeaders: (index) => ({
      ...loads[0]!.createHeaders?.(index),
      "x-anvilrail-event": formatBenchEvent(index),
    }),
  };
}

function createTable(results: readonly RecoveryResult[]) {
  return {
    name: "recovery",
    title: `${CALLS_PER_SECOND} calls a second at the survivors`,
    columns: [
      "VMs",
      "lost at once",
      "known to all after (s)",
      "failed before",
      "failed while it is noticed",
      "failed later",
      "p95 before (ms)",
      "p95 while it is noticed (ms)",
      "p95 later (ms)",
      "longest (ms)",
    ],
    rows: results.map((each) => [
      each.vms,
      each.killed,
      each.detectionSeconds,
      each.before.failures,
      each.during.failures,
      each.after.failures,
      each.before.latency.computePercentile(95),
      each.during.latency.computePercentile(95),
      each.after.latency.computePercentile(95),
      each.during.latency.readSummary().max,
    ]),
  };
}
