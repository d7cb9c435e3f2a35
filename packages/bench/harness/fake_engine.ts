/**
 * A simulated model engine with the behaviour that matters to routing:
 * continuous batching with a limit on the prompt tokens per step, a priority
 * queue, a prefix cache whose events are delayed and partly lost, and load
 * reports that lag.
 */
import { LRUCache } from "lru-cache";
import { type Millis, Priority, type Tokens } from "../../core/mod.ts";
import type { SeededRandom } from "./random.ts";
import type { Action, CancelAction, VirtualClock } from "./virtual_clock.ts";

/** How a request at an engine ended. */
export enum EngineEnd {
  Complete = "complete",
  Cancelled = "cancelled",
  /** The engine crashed or was down. */
  Broken = "broken",
}

/** One request as an engine receives it. */
export interface EngineJob {
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  readonly priority: Priority;
  /** Requests with the same prefix id share its cached tokens. */
  readonly prefix?: { readonly id: string; readonly tokens: Tokens };
  /** Crashes the engine at the end of the prefill. */
  readonly poison?: boolean;
  /** Called for each output token; the first has index 0. */
  readonly onToken?: (index: number) => void;
  readonly onEnd: (end: EngineEnd) => void;
}

/**
 * Parameters of an engine of the size that both users run. Times are in
 * milliseconds, sizes in tokens.
 */
export const SMALL_ENGINE = {
  maxBatch: 32,
  /** Base time of a step. */
  stepBase: 18,
  /** Time added to a step for each running request. */
  stepPerRequest: 0.4,
  /** Time added to a step for each prompt token of the prefill. */
  promptTokenTime: 0.08,
  /** Limit of the prefill in one step. */
  promptTokensPerStep: 1_024,
  cacheTokens: 60_000,
  /** Minimum age of a report that {@link FakeEngine.readReport} returns. */
  reportLag: 1_000,
  /** Delay of a cache event. */
  cacheEventLag: 300,
  /** Probability that a cache event is lost. */
  cacheEventLoss: 0.05,
  /** Time from a crash until the engine accepts requests again. */
  restartTime: 40_000,
};

/** Parameters and dependencies of an engine. */
export interface FakeEngineOptions extends Readonly<typeof SMALL_ENGINE> {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  /** Called when a prefix was stored in the cache or evicted from it. */
  readonly onCacheEvent?: (prefix: string, stored: boolean) => void;
}

interface RunningJob {
  readonly job: EngineJob;
  promptTokensLeft: Tokens;
  outputTokensSent: Tokens;
}

const PRIORITY_ORDER = Object.values(Priority);

function computeRank(job: EngineJob): number {
  return PRIORITY_ORDER.indexOf(job.priority);
}

/** A simulated engine replica that runs on virtual time. */
export class FakeEngine {
  readonly #options: FakeEngineOptions;
  readonly #queue: EngineJob[] = [];
  readonly #running = new Map<EngineJob, RunningJob>();
  readonly #cache: LRUCache<string, Tokens>;
  readonly #reports = [{ at: 0, running: 0, queued: 0 }];
  #isUp = true;
  #speed = 1;
  #cancelStep: CancelAction | undefined;

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#cache = new LRUCache({
      maxSize: options.cacheTokens,
      sizeCalculation: (tokens) => Math.max(1, tokens),
      onInsert: (_, id, reason) =>
        void (reason === "add" && this.#sendCacheEvent(id, true)),
      disposeAfter: (_, id, reason) =>
        void (reason === "evict" && this.#sendCacheEvent(id, false)),
    });
  }

  /** Returns the newest load report that is at least `reportLag` old. */
  readReport() {
    const limit = this.#options.clock.readMonotonic() - this.#options.reportLag;
    while ((this.#reports[1]?.at ?? Infinity) <= limit) this.#reports.shift();
    return this.#reports[0]!;
  }

  /**
   * Sets the speed factor of steps, initially 1. A value below 1 simulates a
   * brown-out.
   */
  changeSpeed(speed: number): void {
    this.#speed = speed;
  }

  /** Queues a job. If the engine is down, the job ends as broken. */
  submit(job: EngineJob): void {
    const { clock } = this.#options;
    if (!this.#isUp) {
      clock.schedule(0, () => job.onEnd(EngineEnd.Broken));
      return;
    }
    this.#queue.push(job);
    this.#queue.sort((left, right) => computeRank(left) - computeRank(right));
    this.#recordLoad();
    if (this.#cancelStep === undefined) {
      this.#scheduleStep(0, () => this.#startStep());
    }
  }

  /** Cancels a queued or running job; without effect if it has ended. */
  cancel(job: EngineJob): void {
    const index = this.#queue.indexOf(job);
    if (index >= 0) this.#queue.splice(index, 1);
    else if (!this.#running.delete(job)) return;
    job.onEnd(EngineEnd.Cancelled);
  }

  /**
   * Crashes the engine: all jobs end as broken and the cache is emptied. It
   * restarts after `restartTime`.
   */
  crash(): void {
    const { clock, restartTime } = this.#options;
    const lost = [...this.#running.keys(), ...this.#queue];
    this.#isUp = false;
    this.#cancelStep?.();
    this.#cancelStep = undefined;
    this.#running.clear();
    this.#queue.length = 0;
    this.#cache.clear();
    this.#recordLoad();
    clock.schedule(restartTime, () => void (this.#isUp = true));
    for (const job of lost) job.onEnd(EngineEnd.Broken);
  }

  #scheduleStep(delay: Millis, action: Action): void {
    this.#cancelStep?.();
    this.#cancelStep = this.#options.clock.schedule(delay, action);
  }

  #startStep(): void {
    const { maxBatch, ...costs } = this.#options;
    this.#cancelStep = undefined;
    while (this.#running.size < maxBatch && this.#queue.length > 0) {
      this.#admit(this.#queue.shift()!);
    }
    if (this.#running.size === 0) return;
    const duration = costs.stepBase +
      costs.stepPerRequest * this.#running.size +
      costs.promptTokenTime * this.#prefillPrompts();
    this.#scheduleStep(duration / this.#speed, () => this.#finishStep());
  }

  #admit(job: EngineJob): void {
    const { id, tokens } = job.prefix ?? { id: "", tokens: 0 };
    const cached = this.#cache.get(id) ?? 0;
    const promptTokensLeft = Math.max(1, job.promptTokens - cached);
    this.#running.set(job, {
      job,
      promptTokensLeft: promptTokensLeft,
      outputTokensSent: 0,
    });
    if (tokens > 0) this.#cache.set(id, tokens);
  }

  /**
   * Divides the step's prompt tokens among the running jobs in the order of
   * their admission and returns the number of tokens used.
   */
  #prefillPrompts(): Tokens {
    let left = this.#options.promptTokensPerStep;
    for (const running of this.#running.values()) {
      const prefilled = Math.min(left, running.promptTokensLeft);
      running.promptTokensLeft -= prefilled;
      left -= prefilled;
    }
    return this.#options.promptTokensPerStep - left;
  }

  #finishStep(): void {
    const running = [...this.#running.values()];
    const ready = running.filter((each) => each.promptTokensLeft === 0);
    if (ready.some((each) => each.job.poison === true)) return this.crash();
    this.#scheduleStep(0, () => this.#startStep());
    for (const each of ready) this.#sendToken(each);
    this.#recordLoad();
  }

  #sendToken(running: RunningJob): void {
    const { job } = running;
    // A callback for an earlier token may have cancelled this job.
    if (!this.#running.has(job)) return;
    job.onToken?.(running.outputTokensSent++);
    if (running.outputTokensSent < job.outputTokens) return;
    if (this.#running.delete(job)) job.onEnd(EngineEnd.Complete);
  }

  #sendCacheEvent(prefix: string, stored: boolean): void {
    const { clock, random, onCacheEvent } = this.#options;
    if (onCacheEvent === undefined) return;
    if (random.drawChance(this.#options.cacheEventLoss)) return;
    clock.schedule(
      this.#options.cacheEventLag,
      () => onCacheEvent(prefix, stored),
    );
  }

  #recordLoad(): void {
    const at = this.#options.clock.readMonotonic();
    const running = this.#running.size;
    this.#reports.push({ at, running, queued: this.#queue.length });
  }
}
