/** One run: the same arrivals and faults under one policy, and its figures. */
import {
  BudgetPreference,
  type EventId,
  type Millis,
  type MonotonicTime,
  type RegionId,
  type Tokens,
  type VmId,
} from "../../core/mod.ts";
import { computeBudgetLeft } from "../../budget/mod.ts";
import { computePromptBound } from "../../request/mod.ts";
import { createZipfChoice, SeededRandom } from "../harness/random.ts";
import { VirtualClock } from "../harness/virtual_clock.ts";
import {
  type Arrival,
  createArrivals,
  SELAM_MIX,
  type Wave,
  type WorkloadMix,
} from "../harness/workload.ts";
import {
  BudgetFleet,
  FAR_REGION,
  type FleetFaults,
  STORE_REGION,
} from "./budget_fleet.ts";
import type { BudgetPolicy, SampleEvent } from "./budget_node.ts";

/** One case: traffic and what goes wrong. */
export interface BudgetCase {
  readonly name: string;
  readonly faults: FleetFaults;
  readonly waves: readonly Wave[];
  /** When every event's limit is raised, if at all. */
  readonly topUpAt?: MonotonicTime;
  readonly deaths: readonly { readonly vm: VmId; readonly at: MonotonicTime }[];
}

/** One run's figures, over all events. */
export interface BudgetFigures {
  readonly requests: number;
  readonly refusals: number;
  /** Refused although a perfect count had the bound free. */
  readonly falseRefusals: number;
  /** Refused although grants and loans within reach covered the bound. */
  readonly avoidableRefusals: number;
  readonly overspend: Tokens;
  /** Neither spent, nor available, nor with a live VM at the end. */
  readonly stranded: Tokens;
  readonly writtenOff: Tokens;
  readonly limit: Tokens;
  readonly rowsWritten: number;
  readonly transactions: number;
}

/** A request with its event and region. */
interface SampleRequest extends Arrival {
  readonly event: SampleEvent;
  readonly region: RegionId;
  readonly bound: Tokens;
  readonly cost: Tokens;
}

const EVENT_COUNT = 12;
const EVENT_SKEW = 0.8;
const FAR_SHARE = 0.3;
const BYTES_PER_TOKEN = 4;
const FIRST_TOKEN_TIME: Millis = 500;
const TOKEN_TIME: Millis = 30;
const DOWN_TIME: Millis = 60_000;
const TOP_UP_SHARE = 0.3;

/** Time after the last arrival in which everything ends and idle grants return. */
const COOL_DOWN: Millis = 360_000;

/** Limits as multiples of what the event's requests cost in all. */
const LIMIT_FACTORS = [3, 0.7, 1.5, 0.95, 1.1, 10];

/** Runs a case under a policy. */
export async function runBudgetCase(
  policy: BudgetPolicy,
  input: {
    readonly mix: WorkloadMix;
    readonly budgetCase: BudgetCase;
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly duration: Millis;
  },
): Promise<BudgetFigures> {
  const { budgetCase, duration } = input;
  const clock = new VirtualClock();
  const random = new SeededRandom(input.seed);
  const { events, requests } = createTraffic(random, input);
  const fleet = new BudgetFleet({
    clock,
    random: random.createBranch("fleet"),
    policy,
    faults: budgetCase.faults,
    events,
  });
  const counts = { refusals: 0, falseRefusals: 0, avoidableRefusals: 0 };
  for (const request of requests) {
    clock.schedule(request.at, () => sendRequest(fleet, request));
  }
  for (const { vm, at } of budgetCase.deaths) {
    clock.schedule(at, () => fleet.restartVm(vm, DOWN_TIME));
  }
  if (budgetCase.topUpAt !== undefined) {
    clock.schedule(budgetCase.topUpAt, () => {
      for (const event of events) {
        fleet.topUp(event, Math.round(event.limit * TOP_UP_SHARE));
      }
    });
  }
  await clock.runUntil(duration + COOL_DOWN);
  return { requests: requests.length, ...counts, ...summarize(fleet, events) };

  function sendRequest(fleet: BudgetFleet, request: SampleRequest): void {
    const vm = fleet.chooseVm(request.region, request.event.id);
    const { event, bound: tokens } = request;
    fleet.reserve(vm, {
      event,
      tokens,
      onEnd: (hold) => {
        if (hold === undefined) return recordRefusal(vm, request);
        const time = FIRST_TOKEN_TIME + TOKEN_TIME * request.outputTokens;
        clock.schedule(time, () => fleet.settle(hold, request.cost));
      },
    });
  }

  function recordRefusal(vm: VmId, request: SampleRequest): void {
    const { event, bound } = request;
    const { limit, spent, held } = fleet.ledger.get(event.id)!;
    counts.refusals++;
    if (limit - spent - held >= bound) counts.falseRefusals++;
    const reachable = fleet.readReachable(vm, event.id);
    if (reachable >= bound) counts.avoidableRefusals++;
  }
}

function createTraffic(
  random: SeededRandom,
  input: {
    readonly mix: WorkloadMix;
    readonly budgetCase: BudgetCase;
    readonly requestsPerSecond: number;
    readonly duration: Millis;
  },
): {
  readonly events: readonly SampleEvent[];
  readonly requests: readonly SampleRequest[];
} {
  const { mix, budgetCase, requestsPerSecond, duration } = input;
  const arrivals = createArrivals({
    mix,
    random: random.createBranch("arrivals"),
    requestsPerSecond,
    duration,
    waves: budgetCase.waves,
  });
  const place = random.createBranch("place");
  const chooseEvent = createZipfChoice(EVENT_COUNT, EVENT_SKEW);
  const placed = arrivals.map((arrival) => ({
    ...arrival,
    eventIndex: chooseEvent(place),
    region: place.drawChance(FAR_SHARE) ? FAR_REGION : STORE_REGION,
    bound: computeBound(arrival),
    cost: computeCost(arrival),
  }));
  const lean = mix === SELAM_MIX
    ? BudgetPreference.FewerRefusals
    : BudgetPreference.TighterBudget;
  const events = Array.from({ length: EVENT_COUNT }, (_, index) => {
    const cost = placed
      .filter((each) => each.eventIndex === index)
      .reduce((sum, each) => sum + each.cost, 0);
    const factor = LIMIT_FACTORS[index % LIMIT_FACTORS.length]!;
    return { id: `event-${index}`, limit: Math.round(cost * factor), lean };
  });
  const requests = placed.map((each) => ({
    ...each,
    event: events[each.eventIndex]!,
  }));
  return { events, requests };
}

function computeBound(arrival: Arrival): Tokens {
  const { kind, promptTokens } = arrival;
  if (promptTokens === 0) return kind.flatTokens;
  const promptBound = computePromptBound(promptTokens * BYTES_PER_TOKEN, 1);
  return promptBound + kind.maxOutputTokens + kind.flatTokens;
}

function computeCost(arrival: Arrival): Tokens {
  const { kind, promptTokens, outputTokens } = arrival;
  return promptTokens + outputTokens + kind.flatTokens;
}

function summarize(fleet: BudgetFleet, events: readonly SampleEvent[]) {
  const { rowsWritten, transactions } = fleet.table.memory.readCounts();
  const totals = events.map((event) => summarizeEvent(fleet, event.id));
  const add = (read: (total: typeof totals[number]) => Tokens) =>
    totals.reduce((sum, total) => sum + read(total), 0);
  return {
    overspend: add((total) => total.overspend),
    stranded: add((total) => total.stranded),
    writtenOff: add((total) => total.writtenOff),
    limit: add((total) => total.limit),
    rowsWritten,
    transactions,
  };
}

function summarizeEvent(fleet: BudgetFleet, eventId: EventId) {
  const row = fleet.readRow(eventId);
  const { limit, spent } = fleet.ledger.get(eventId)!;
  return {
    limit,
    overspend: Math.max(0, spent - limit),
    stranded: Math.max(
      0,
      limit - spent - computeBudgetLeft(row) - fleet.readHeld(eventId),
    ),
    writtenOff: row.writtenOff ?? 0,
  };
}
