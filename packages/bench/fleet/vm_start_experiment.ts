/**
 * Measures the time from the start of a VM until it is ready, by document size.
 */
import { setTimeout as wait } from "node:timers/promises";
import { createSystemClock, MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  createDocumentState,
  type DocumentState,
  readSectionVersion,
  submitChange,
  type SubmitPorts,
  SubmitState,
} from "../../document/mod.ts";
import { HttpTable, StoreWriter } from "../../ports/mod.ts";
import { createSampleSections } from "../capacity/document_benchmarks.ts";
import { computeMedian } from "../capacity/measure_calls.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from "../report/experiment.ts";
import { type FleetVm, startFleet } from "./fleet_threads.ts";

const BUDGETS = [10, 1_000, 80_000];
const QUICK_BUDGETS = [10, 1_000];
const STARTS = 3;
const QUICK_STARTS = 1;
const MAX_WAIT_MILLIS = 120_000;
const POLL_MILLIS = 10;

/** The experiment as `anvilrail bench` runs it. */
export const vmStartExperiment: Experiment = {
  name: "vm-start",
  description:
    "From the start of a VM to ready, by the number of budgets in the document",
  quick: true,
  run: runVmStart,
};

async function runVmStart(
  options: ExperimentOptions,
): Promise<ExperimentResult> {
  const rows: number[][] = [];
  for (const budgets of options.quick ? QUICK_BUDGETS : BUDGETS) {
    options.log(`${budgets} budgets`);
    rows.push([budgets, ...await measureStarts(budgets, options.quick)]);
  }
  return {
    tables: [{
      name: "start",
      title: "Start of a VM",
      columns: [
        "budgets",
        "from start to listening (s)",
        "from start to ready (s)",
      ],
      rows,
    }],
    notes: [
      "A thread takes the place of the process; loading the program is part of the time. The store answers over loopback without rate limits.",
    ],
  };
}

async function measureStarts(
  budgets: number,
  quick: boolean,
): Promise<number[]> {
  const starts = quick ? QUICK_STARTS : STARTS;
  const fleet = await startFleet(0, { followsStoredDocument: true });
  await writeDocument(fleet.tableUrl, budgets);
  const listening: number[] = [];
  const ready: number[] = [];
  for (let count = 0; count < starts; count++) {
    const start = performance.now();
    const vm = await fleet.addVm();
    listening.push(computeSeconds(start));
    await waitUntilReady(vm);
    ready.push(computeSeconds(start));
  }
  await fleet.stop();
  return [computeMedian(listening), computeMedian(ready)];
}

async function writeDocument(tableUrl: string, budgets: number): Promise<void> {
  const ports = createPorts(tableUrl);
  let state: DocumentState = createDocumentState();
  for (const { section, text } of createSampleSections(budgets)) {
    const result = await submitChange(ports, state, {
      changeId: `create-${section}`,
      section,
      baseVersion: readSectionVersion(state, section),
      edit: { text },
      author: "bench",
      wallTime: 0,
    });
    if (result.state !== SubmitState.Accepted) {
      throw new Error(`Section ${section} was not accepted: ${result.state}`);
    }
    state = result.document;
  }
}

function createPorts(tableUrl: string): SubmitPorts {
  const table = new HttpTable({ url: tableUrl, timeout: MAX_WAIT_MILLIS });
  const clock = createSystemClock();
  const writer = new StoreWriter({
    table,
    clock,
    random: Math.random,
    sleep: wait,
    groupDelay: 1,
  });
  return {
    reader: table,
    run: (operation) => writer.run(operation, { giveUpAt: Infinity }),
  };
}

async function waitUntilReady(vm: FleetVm): Promise<void> {
  const start = performance.now();
  while (performance.now() - start < MAX_WAIT_MILLIS) {
    const response = await fetch(`${vm.thread.url}/readyz`);
    await response.arrayBuffer();
    if (response.status === 200) return;
    await wait(POLL_MILLIS);
  }
  throw new Error(`${vm.vm} is not ready after ${MAX_WAIT_MILLIS} ms`);
}

function computeSeconds(start: number): number {
  return (performance.now() - start) / MILLIS_PER_SECOND;
}
