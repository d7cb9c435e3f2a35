/** Runs one case under one policy and computes the figures of the run. */
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
  type BudgetFaults,
  BudgetFleet,
  FAR_REGION,
  STORE_REGION,
} from "./budget_fleet.ts";
import type { BudgetPolicy, SampleEvent } from "./budget_node.ts";

/** Traffic and faults of one case. */
export interface BudgetCase {
  readonly name: string;
  readonly faults: BudgetFaults;
  readonly waves: readonly Wave[];
  /** Time at which every event's limit is raised; never if absent. */
  readonly topUpAt?: MonotonicTime;
  /** VMs that are killed; each starts again after a down time. */
  readonly deaths: readonly { readonly vm: VmId; readonly at: MonotonicTime }[];
}

/** Figures of one run, summed over all events. */
export interface BudgetFigures {
  readonly requests: number;
  readonly refusals: number;
  /**
   * Refusals although the limit, less tokens spent and the bounds of requests
   * in progress, covered the request's bound.
   */
  readonly falseRefusals: number;
  /**
   * Refusals although grants, loans and the store within reach covered the
   * bound.
   */
  readonly avoidableRefusals: number;
  readonly overspend: Tokens;
  /**
   * Tokens that at the end are neither spent, nor available in the budget row,
   * nor held by a running VM.
   */
  readonly stranded: Tokens;
  /** Tokens held by lost VMs that were written off, spent or not. */
  readonly writtenOff: Tokens;
  readonly limit: Tokens;
  readonly rowsWritten: number;
  readonly transactions: number;
}

/** An arrival that is assigned to an event and a region. */
interface SampleRequest extends Arrival {
  readonly event: SampleEvent;
  readonly region: RegionId;
  /** Upper bound of the cost, which is reserved before the request starts. */
  readonly bound: Tokens;
  /** Tokens that the request uses. */
  readonly cost: Tokens;
}

const EVENT_COUNT = 12;
const EVENT_ZIPF_EXPONENT = 0.8;
/** Share of the requests that arrive in the far region. */
const FAR_SHARE = 0.3;
const BYTES_PER_TOKEN = 4;
const FIRST_TOKEN_TIME: Millis = 500;
const TOKEN_TIME: Millis = 30;
/** Time from the death of a VM to its next start. */
const DOWN_TIME: Millis = 60_000;
/** Size of a top-up as a share of the event's first limit. */
const TOP_UP_SHARE = 0.3;

/**
 * Duration after the last arrival, long enough for all requests to end and for
 * idle grants to be returned.
 */
const DRAIN_DURATION: Millis = 360_000;

/** Limits of the events as multiples of the total cost of their requests. */
const LIMIT_FACTORS = [3, 0.7, 1.5, 0.95, 1.1, 10];

/**
 * Runs one case under one policy. Runs with the same seed get the same
 * arrivals.
 */
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
  await clock.runUntil(duration + DRAIN_DURATION);
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
    const reachable = fleet.readReachableTokens(vm, event.id);
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
  const placementRandom = random.createBranch("place");
  const chooseEvent = createZipfChoice(EVENT_COUNT, EVENT_ZIPF_EXPONENT);
  const requestsWithEvent = arrivals.map((arrival) => ({
    ...arrival,
    eventIndex: chooseEvent(placementRandom),
    region: placementRandom.drawChance(FAR_SHARE) ? FAR_REGION : STORE_REGION,
    bound: computeBound(arrival),
    cost: computeCost(arrival),
  }));
  const lean = mix === SELAM_MIX
    ? BudgetPreference.FewerRefusals
    : BudgetPreference.TighterBudget;
  const events = Array.from({ length: EVENT_COUNT }, (_, index) => {
    const cost = requestsWithEvent
      .filter((each) => each.eventIndex === index)
      .reduce((sum, each) => sum + each.cost, 0);
    const factor = LIMIT_FACTORS[index % LIMIT_FACTORS.length]!;
    return { id: `event-${index}`, limit: Math.round(cost * factor), lean };
  });
  const requests = requestsWithEvent.map((each) => ({
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
      limit - spent - computeBudgetLeft(row) - fleet.readUnspentTokens(eventId),
    ),
    writtenOff: row.writtenOff ?? 0,
  };
}
