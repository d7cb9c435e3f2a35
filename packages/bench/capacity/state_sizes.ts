/** Heap that each record of a VM's state takes. */
import {
  createEventAccount,
  type EventAccount,
  receiveGrant,
} from "../../budget/mod.ts";
import { applyTargets, createRoutingState } from "../../routing/mod.ts";
import type { FigureTable } from "../report/experiment.ts";
import { measureHeap } from "./measure_calls.ts";
import {
  createSampleConfiguration,
  createSampleView,
  formatEventId,
  PLANNED_FLEET_SIZE,
  PLANNED_MEMBER_COUNT,
} from "./sample_fleet.ts";

interface StateProbe {
  readonly name: string;
  readonly count: number;
  /** Returns the state, which is kept until its heap has been measured. */
  readonly create: (count: number) => unknown;
}

const STATE_PROBES: readonly StateProbe[] = [
  {
    name: "account with one grant",
    count: PLANNED_FLEET_SIZE.budgets,
    create: createAccounts,
  },
  {
    name: "member of the view",
    count: PLANNED_MEMBER_COUNT,
    create: (count) => createSampleView(count),
  },
  {
    name: "target with its configuration",
    count: PLANNED_FLEET_SIZE.targets,
    create: createTargets,
  },
  {
    name: "event of the configuration",
    count: PLANNED_FLEET_SIZE.budgets,
    create: (budgets) =>
      createSampleConfiguration({ ...PLANNED_FLEET_SIZE, budgets, targets: 0 }),
  },
];

/** Measures every record. */
export function measureStates(): FigureTable {
  return {
    name: "states",
    title: "Heap of one record",
    columns: ["record", "records", "heap of each (bytes)"],
    rows: STATE_PROBES.map(({ name, count, create }) => [
      name,
      count,
      measureState(count, create),
    ]),
  };
}

function measureState(
  count: number,
  create: (count: number) => unknown,
): number {
  const before = measureHeap();
  const kept = [create(count)];
  const after = measureHeap();
  return Math.round((after - before) / count) * kept.length;
}

function createAccounts(count: number): Map<string, EventAccount> {
  const accounts = new Map<string, EventAccount>();
  for (let index = 0; index < count; index++) {
    const id = formatEventId(index);
    const grant = { grantId: `${id}/1`, size: 1_000, deadline: 1 };
    accounts.set(id, receiveGrant(createEventAccount(id), grant));
  }
  return accounts;
}

function createTargets(targets: number) {
  const configuration = createSampleConfiguration({
    targets,
    budgets: 0,
    customers: 0,
    services: 7,
    regions: 7,
  });
  const state = createRoutingState({ region: "region-0" });
  return applyTargets(state, { configuration, now: 0 });
}
