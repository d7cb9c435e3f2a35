/** What became of the requests of one run. */
import {
  type Millis,
  type MonotonicTime,
  Priority,
  type RefusalKind,
} from "../../core/mod.ts";
import { Histogram } from "../harness/histogram.ts";
import type { Arrival } from "../harness/workload.ts";

/** How a request ended for its caller. */
export enum RequestEnd {
  Complete = "complete",
  Refused = "refused",
  Failed = "failed",
}

/** One request that ended. */
export interface EndedRequest {
  readonly arrival: Arrival;
  readonly end: RequestEnd;
  readonly refusal?: RefusalKind;
  readonly firstTokenAt?: MonotonicTime;
  readonly endedAt: MonotonicTime;
}

/** Counts what happens to the requests of one run. */
export class Outcomes {
  readonly firstTokenTimes = new Map<Priority, Histogram>();
  readonly allFirstTokenTimes = new Histogram();
  readonly tokenIntervals = new Histogram();
  readonly refusals = new Map<RefusalKind, number>();
  readonly servedTokens = new Map<string, number>();
  /** Targets that each poison request crashed. */
  readonly poisonCrashes = new Map<string, number>();
  offered = 0;
  started = 0;
  attempts = 0;
  complete = 0;
  inTime = 0;
  late = 0;
  failed = 0;

  /** Folds in one request. An unanswered one counts as its whole deadline. */
  recordEnd(request: EndedRequest): void {
    const { arrival, end } = request;
    this.offered++;
    if (end === RequestEnd.Complete) this.#recordComplete(request);
    else if (end === RequestEnd.Failed) this.failed++;
    if (request.refusal !== undefined) {
      const count = this.refusals.get(request.refusal) ?? 0;
      this.refusals.set(request.refusal, count + 1);
    }
    if (arrival.outputTokens === 0) return;
    const firstTokenTime = computeFirstTokenTime(request);
    this.#readHistogram(arrival.kind.priority).record(firstTokenTime);
    this.allFirstTokenTimes.record(firstTokenTime);
  }

  /** Records the time between two tokens of an answer. */
  recordTokenInterval(interval: Millis): void {
    this.tokenIntervals.record(interval);
  }

  /** Counts a target that a poison request crashed. */
  recordPoisonCrash(requestKey: string): void {
    const crashes = this.poisonCrashes.get(requestKey) ?? 0;
    this.poisonCrashes.set(requestKey, crashes + 1);
  }

  /** Returns the times to the first token of one priority. */
  readFirstTokenTimes(priority: Priority) {
    return this.#readHistogram(priority).readSummary();
  }

  /** Returns the first of the priorities that model requests of the run had. */
  findTopPriority(): Priority {
    const priorities = Object.values(Priority);
    return priorities.find((each) => this.firstTokenTimes.has(each)) ??
      Priority.Standard;
  }

  /** Returns attempts for each request that had any. */
  computeRetryAmplification(): number {
    return this.started === 0 ? 1 : this.attempts / this.started;
  }

  #recordComplete(request: EndedRequest): void {
    const { arrival, endedAt } = request;
    this.complete++;
    const inTime = endedAt <= arrival.at + arrival.kind.deadline;
    if (inTime) this.inTime++;
    else this.late++;
    const served = this.servedTokens.get(arrival.customer) ?? 0;
    const tokens = arrival.outputTokens;
    this.servedTokens.set(arrival.customer, served + tokens);
  }

  #readHistogram(priority: Priority): Histogram {
    const histogram = this.firstTokenTimes.get(priority) ?? new Histogram();
    this.firstTokenTimes.set(priority, histogram);
    return histogram;
  }
}

/** Returns Jain's fairness index of some shares, 1 when all are equal. */
export function computeJainIndex(shares: readonly number[]): number {
  const sum = shares.reduce((total, each) => total + each, 0);
  const squares = shares.reduce((total, each) => total + each * each, 0);
  return squares === 0 ? 1 : sum * sum / (shares.length * squares);
}

function computeFirstTokenTime(request: EndedRequest): Millis {
  const { arrival, firstTokenAt, end } = request;
  const answered = end === RequestEnd.Complete && firstTokenAt !== undefined;
  if (answered) return firstTokenAt - arrival.at;
  return Math.max(arrival.kind.deadline, request.endedAt - arrival.at);
}
