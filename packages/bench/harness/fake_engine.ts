/**
 * A model engine at the level that routing sees: continuous batching with a
 * token budget for prompts in each step, a queue by priority, a prefix cache
 * with late and gappy events, and load reports that lag.
 */
import { LRUCache } from "lru-cache";
import { type Millis, Priority, type Tokens } from "../../core/mod.ts";
import type { SeededRandom } from "./random.ts";
import type { Action, CancelAction, VirtualClock } from "./virtual_clock.ts";

/** How a request at an engine ended. */
export enum EngineEnd {
  Complete = "complete",
  Cancelled = "cancelled",
  /** The engine died. */
  Broken = "broken",
}

/** One request as an engine sees it. */
export interface EngineJob {
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  readonly priority: Priority;
  /** Requests with one prefix share its first tokens in the cache. */
  readonly prefix?: { readonly id: string; readonly tokens: Tokens };
  /** Crashes the engine when its prompt has been read. */
  readonly poison?: boolean;
  /** Runs at each token; the first has index 0. */
  readonly onToken?: (index: number) => void;
  readonly onEnd: (end: EngineEnd) => void;
}

/** An engine of the size that both users have: times in ms, sizes in tokens. */
export const SMALL_ENGINE = {
  maxBatch: 32,
  /** Time of a step that runs nothing. */
  stepBase: 18,
  /** Added to a step for each running request. */
  stepPerRequest: 0.4,
  /** Added to a step for each prompt token it reads. */
  promptTokenTime: 0.08,
  promptTokensPerStep: 1_024,
  cacheTokens: 60_000,
  /** Age of the report that {@link FakeEngine.readReport} returns. */
  reportLag: 1_000,
  cacheEventLag: 300,
  /** Share of cache events that are never published. */
  cacheEventLoss: 0.05,
  /** Time from a crash until the engine takes requests again. */
  restartTime: 40_000,
};

/** How an engine behaves. */
export interface FakeEngineOptions extends Readonly<typeof SMALL_ENGINE> {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  /** Hears that a prefix entered or left the cache. */
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

/** One engine replica. */
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

  /** Returns the newest report that has had time to arrive. */
  readReport() {
    const limit = this.#options.clock.readMonotonic() - this.#options.reportLag;
    while ((this.#reports[1]?.at ?? Infinity) <= limit) this.#reports.shift();
    return this.#reports[0]!;
  }

  /** Sets the speed, 1 at first; a brown-out is a speed below 1. */
  changeSpeed(speed: number): void {
    this.#speed = speed;
  }

  /** Queues a job; an engine that is down breaks it. */
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

  /** Cancels a job, queued or running. */
  cancel(job: EngineJob): void {
    const index = this.#queue.indexOf(job);
    if (index >= 0) this.#queue.splice(index, 1);
    else if (!this.#running.delete(job)) return;
    job.onEnd(EngineEnd.Cancelled);
  }

  /** Kills the engine: every job breaks, the cache is lost, it restarts later. */
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

  /** Spends the step's prompt tokens on running jobs in their order. */
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
    // A sink of an earlier token may have cancelled this job.
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
