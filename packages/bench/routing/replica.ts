/** Simulated targets: model engines and plain services. */
import { type Millis, Priority, type TargetConfig } from "../../core/mod.ts";
import { LRUCache } from "lru-cache";
import {
  EngineEnd,
  type EngineJob,
  FakeEngine,
  SMALL_ENGINE,
} from "../harness/fake_engine.ts";
import type { SeededRandom } from "../harness/random.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";

/** Median and spread of the lognormal duration of a call of a plain service. */
const PLAIN_MEDIAN_DURATION: Millis = 30;
const PLAIN_SIGMA = 0.5;
const PRIORITY_ORDER = Object.values(Priority);

/** Load report of a target. */
export interface ReplicaReport {
  readonly running: number;
  readonly queued: number;
}

/** A simulated target that runs jobs. */
export interface Replica {
  readonly config: TargetConfig;
  /**
   * Whether the target accepts jobs, that is, is not restarting after a crash.
   */
  readonly up: boolean;
  submit(job: EngineJob): void;
  cancel(job: EngineJob): void;
  /** Fails all jobs and takes the target down until it has restarted. */
  crash(): void;
  /** Sets the speed relative to normal, which is 1. */
  changeSpeed(speed: number): void;
  /** Returns the load report, or undefined while the target is down. */
  readReport(): ReplicaReport | undefined;
  /** Number of jobs with a prefix, and of those whose prefix was cached. */
  readCacheCounts(): { readonly jobs: number; readonly hits: number };
}

/** Environment of the replicas of a run. */
export interface ReplicaOptions {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly reportLag: Millis;
  readonly onCacheEvent: (prefix: string, stored: boolean) => void;
}

/** A model engine that counts prefix cache hits with a model of its cache. */
export class EngineReplica implements Replica {
  readonly config: TargetConfig;
  readonly #engine: FakeEngine;
  readonly #clock: VirtualClock;
  readonly #cacheModel = createCacheModel();
  readonly #submittedJobs = new Map<EngineJob, EngineJob>();
  #downUntil = 0;
  #cacheCounts = { jobs: 0, hits: 0 };

  constructor(config: TargetConfig, options: ReplicaOptions) {
    this.config = config;
    this.#clock = options.clock;
    this.#engine = new FakeEngine({ ...SMALL_ENGINE, ...options });
  }

  get up(): boolean {
    return this.#clock.readMonotonic() >= this.#downUntil;
  }

  submit(job: EngineJob): void {
    this.#countCacheUse(job);
    const onEnd = (end: EngineEnd) => {
      this.#submittedJobs.delete(job);
      // A poison job crashes the engine from within, so the crash is detected
      // by the first job that it breaks.
      if (end === EngineEnd.Broken) this.#recordCrash();
      job.onEnd(end);
    };
    const submitted = { ...job, onEnd };
    this.#submittedJobs.set(job, submitted);
    this.#engine.submit(submitted);
  }

  cancel(job: EngineJob): void {
    const submitted = this.#submittedJobs.get(job);
    if (submitted !== undefined) this.#engine.cancel(submitted);
  }

  crash(): void {
    this.#recordCrash();
    this.#engine.crash();
  }

  changeSpeed(speed: number): void {
    this.#engine.changeSpeed(speed);
  }

  readReport(): ReplicaReport | undefined {
    return this.up ? this.#engine.readReport() : undefined;
  }

  readCacheCounts() {
    return this.#cacheCounts;
  }

  #recordCrash(): void {
    if (!this.up) return;
    const now = this.#clock.readMonotonic();
    this.#downUntil = now + SMALL_ENGINE.restartTime;
    this.#cacheModel.clear();
  }

  #countCacheUse(job: EngineJob): void {
    const { id, tokens } = job.prefix ?? { id: "", tokens: 0 };
    if (tokens === 0) return;
    const hits = this.#cacheCounts.hits +
      (this.#cacheModel.get(id) === undefined ? 0 : 1);
    this.#cacheCounts = { jobs: this.#cacheCounts.jobs + 1, hits };
    this.#cacheModel.set(id, tokens);
  }
}

/**
 * A plain service that runs as many calls as its capacity allows and queues the
 * rest by priority.
 */
export class PlainReplica implements Replica {
  readonly config: TargetConfig;
  readonly #options: ReplicaOptions;
  readonly #queue: EngineJob[] = [];
  readonly #running = new Set<EngineJob>();
  #downUntil = 0;
  #speed = 1;

  constructor(config: TargetConfig, options: ReplicaOptions) {
    this.config = config;
    this.#options = options;
  }

  get up(): boolean {
    return this.#options.clock.readMonotonic() >= this.#downUntil;
  }

  submit(job: EngineJob): void {
    if (!this.up) {
      this.#options.clock.schedule(0, () => job.onEnd(EngineEnd.Broken));
      return;
    }
    this.#queue.push(job);
    this.#queue.sort((left, right) => computeRank(left) - computeRank(right));
    this.#startNext();
  }

  cancel(job: EngineJob): void {
    const index = this.#queue.indexOf(job);
    if (index >= 0) this.#queue.splice(index, 1);
    else if (!this.#running.delete(job)) return;
    job.onEnd(EngineEnd.Cancelled);
    this.#startNext();
  }

  crash(): void {
    const { clock } = this.#options;
    this.#downUntil = clock.readMonotonic() + SMALL_ENGINE.restartTime;
    const lost = [...this.#running, ...this.#queue];
    this.#running.clear();
    this.#queue.length = 0;
    for (const job of lost) job.onEnd(EngineEnd.Broken);
  }

  changeSpeed(speed: number): void {
    this.#speed = speed;
  }

  readReport(): ReplicaReport | undefined {
    if (!this.up) return undefined;
    return { running: this.#running.size, queued: this.#queue.length };
  }

  readCacheCounts() {
    return { jobs: 0, hits: 0 };
  }

  #startNext(): void {
    while (this.#running.size < this.config.capacity) {
      const job = this.#queue.shift();
      if (job === undefined) return;
      this.#running.add(job);
      const { clock, random } = this.#options;
      const time = random.drawLognormal(PLAIN_MEDIAN_DURATION, PLAIN_SIGMA);
      clock.schedule(time / this.#speed, () => this.#finish(job));
    }
  }

  #finish(job: EngineJob): void {
    if (!this.#running.delete(job)) return;
    job.onToken?.(0);
    job.onEnd(EngineEnd.Complete);
    this.#startNext();
  }
}

function createCacheModel(): LRUCache<string, number> {
  return new LRUCache({
    maxSize: SMALL_ENGINE.cacheTokens,
    sizeCalculation: (tokens) => Math.max(1, tokens),
  });
}

function computeRank(job: EngineJob): number {
  return PRIORITY_ORDER.indexOf(job.priority);
}
