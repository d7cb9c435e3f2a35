/** How long requests hold a slot, and how fast a queue drains; both learned. */
import type {
  KindId,
  Millis,
  MonotonicTime,
  ServiceId,
} from "../../core/mod.ts";

const DEFAULT_SERVICE_TIME: Millis = 1_000;
const SMOOTHING_FACTOR = 0.1;
const DRAIN_HALF_LIFE: Millis = 3_000;

/** Mean time that each kind of request holds a slot. */
export class ServiceTimes {
  readonly #means = new Map<string, Millis>();

  /** Folds in one request's time from start to end. */
  record(service: ServiceId, kind: KindId, serviceTime: Millis): void {
    const key = `${service}/${kind}`;
    const mean = this.#means.get(key) ?? serviceTime;
    this.#means.set(key, mean + SMOOTHING_FACTOR * (serviceTime - mean));
  }

  /** Returns the expected time from start to end; undefined if never seen. */
  find(service: ServiceId, kind: KindId): Millis | undefined {
    return this.#means.get(`${service}/${kind}`);
  }

  /** Returns the expected time, or a guess for a kind never seen. */
  compute(service: ServiceId, kind: KindId): Millis {
    return this.find(service, kind) ?? DEFAULT_SERVICE_TIME;
  }
}

/**
 * How fast a queue drains: the slots that are busy while it waits, each of
 * which works off a slot millisecond per millisecond. Idle time does not count.
 */
export class DrainRate {
  #busySlotTime = 0;
  #waitingTime: Millis = 0;
  #running = 0;
  #integratedAt: MonotonicTime | undefined;

  /** Notes that the queue has work waiting, or has run empty. */
  recordWaiting(waiting: boolean, now: MonotonicTime): void {
    this.#integrate(now);
    this.#integratedAt = waiting ? now : undefined;
  }

  /** Notes how many slots are busy from now on. */
  recordRunning(running: number, now: MonotonicTime): void {
    this.#integrate(now);
    this.#running = running;
  }

  /** Returns slot milliseconds that are worked off per millisecond. */
  compute(): number {
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
