/** Estimates of service times of requests and of the drain rate of a queue. */
import type {
  KindId,
  Millis,
  MonotonicTime,
  ServiceId,
} from "../../core/mod.ts";

/** Assumed service time of a kind that has not been observed. */
const DEFAULT_SERVICE_TIME: Millis = 1_000;
/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Half-life of an observation in the drain rate. */
const DRAIN_HALF_LIFE: Millis = 3_000;

/** Moving average of the time that each kind of request occupies a slot. */
export class ServiceTimes {
  readonly #means = new Map<string, Millis>();

  /** Records the service time of one request, from its start to its end. */
  record(service: ServiceId, kind: KindId, serviceTime: Millis): void {
    const key = `${service}/${kind}`;
    const mean = this.#means.get(key) ?? serviceTime;
    this.#means.set(key, mean + SMOOTHING_FACTOR * (serviceTime - mean));
  }

  /**
   * Returns the expected service time, or undefined if the kind was not
   * observed.
   */
  find(service: ServiceId, kind: KindId): Millis | undefined {
    return this.#means.get(`${service}/${kind}`);
  }

  /**
   * Returns the expected service time, or a default if the kind was not
   * observed.
   */
  compute(service: ServiceId, kind: KindId): Millis {
    return this.find(service, kind) ?? DEFAULT_SERVICE_TIME;
  }
}

/**
 * Drain rate of a queue: the mean number of busy slots while requests wait. Each
 * busy slot completes one slot millisecond of work per millisecond. Time with an
 * empty queue does not count.
 */
export class DrainRate {
  #busySlotTime = 0;
  #waitingTime: Millis = 0;
  #running = 0;
  #integratedAt: MonotonicTime | undefined;

  /** Records whether the queue has waiting requests from now on. */
  recordWaiting(waiting: boolean, now: MonotonicTime): void {
    this.#integrate(now);
    this.#integratedAt = waiting ? now : undefined;
  }

  /** Records how many slots are busy from now on. */
  recordRunning(running: number, now: MonotonicTime): void {
    this.#integrate(now);
    this.#running = running;
  }

  /** Returns the slot milliseconds of work completed per millisecond. */
  computeRate(): number {
    const meanBusy = this.#waitingTime > 0
      ? this.#busySlotTime / this.#waitingTime
      : this.#running;
    return Math.max(meanBusy, this.#running);
  }

  #integrate(now: MonotonicTime): void {
    if (this.#integratedAt === undefined) return;
    const elapsed = now - this.#integratedAt;
    const decay = 0.5 ** (elapsed / DRAIN_HALF_LIFE);
    this.#busySlotTime = this.#busySlotTime * decay + this.#running * elapsed;
    this.#waitingTime = this.#waitingTime * decay + elapsed;
    this.#integratedAt = now;
  }
}
