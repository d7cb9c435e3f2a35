/** Counts and latencies of the requests of one run. */
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

/** A request that has ended, as its caller saw it. */
export interface EndedRequest {
  readonly arrival: Arrival;
  readonly end: RequestEnd;
  readonly refusal?: RefusalKind;
  readonly firstTokenAt?: MonotonicTime;
  readonly endedAt: MonotonicTime;
}

/** Collects counts and latencies of the requests of one run. */
export class Outcomes {
  /** Times to the first token of model requests, by priority. */
  readonly firstTokenTimes = new Map<Priority, Histogram>();
  readonly allFirstTokenTimes = new Histogram();
  readonly tokenIntervals = new Histogram();
  readonly refusals = new Map<RefusalKind, number>();
  /** Output tokens of complete answers, by customer. */
  readonly servedTokens = new Map<string, number>();
  /** Number of targets that each poison request crashed, by request key. */
  readonly poisonCrashes = new Map<string, number>();
  /** Requests that have ended, however they ended. */
  offered = 0;
  /** Requests that had at least one attempt. */
  started = 0;
  attempts = 0;
  complete = 0;
  inTime = 0;
  late = 0;
  failed = 0;

  /**
   * Records the end of a request. A model request without a complete answer
   * counts with at least its deadline as the time to the first token.
   */
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

  /** Records the time between two consecutive tokens of an answer. */
  recordTokenInterval(interval: Millis): void {
    this.tokenIntervals.record(interval);
  }

  /** Records that a poison request crashed a target. */
  recordPoisonCrash(requestKey: string): void {
    const crashes = this.poisonCrashes.get(requestKey) ?? 0;
    this.poisonCrashes.set(requestKey, crashes + 1);
  }

  /** Returns a summary of the times to the first token of one priority. */
  readFirstTokenTimes(priority: Priority) {
    return this.#readHistogram(priority).readSummary();
  }

  /** Returns the highest priority among the model requests recorded so far. */
  findTopPriority(): Priority {
    const priorities = Object.values(Priority);
    return priorities.find((each) => this.firstTokenTimes.has(each)) ??
      Priority.Standard;
  }

  /** Returns the mean number of attempts of the requests that had any. */
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

/**
 * Returns Jain's fairness index: 1 when all shares are equal, and 1/n when one
 * of n has everything.
 */
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
