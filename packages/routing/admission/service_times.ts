/** How long requests hold a slot, and how fast a queue drains; both learned. */
import type {
  KindId,
  Millis,
  MonotonicTime,
  ServiceId,
} from "../../core/mod.ts";

const UNKNOWN_HOLD: Millis = 1_000;
const HOLD_WEIGHT = 0.1;
const DRAIN_HALF_LIFE: Millis = 3_000;

/** Evidence, in finished requests, that a measured drain rate needs. */
const LEAST_FINISHED = 4;

/** Mean time that each kind of request holds a slot. */
export class HoldTimes {
  readonly #means = new Map<string, Millis>();

  /** Folds in one request's time from start to end. */
  record(service: ServiceId, kind: KindId, hold: Millis): void {
    const key = `${service}/${kind}`;
    const mean = this.#means.get(key) ?? hold;
    this.#means.set(key, mean + HOLD_WEIGHT * (hold - mean));
  }

  /** Returns the expected time from start to end; undefined if never seen. */
  find(service: ServiceId, kind: KindId): Millis | undefined {
    return this.#means.get(`${service}/${kind}`);
  }

  /** Returns the expected time, or a guess for a kind never seen. */
  compute(service: ServiceId, kind: KindId): Millis {
    return this.find(service, kind) ?? UNKNOWN_HOLD;
  }
}

/** Work finished over time while a queue was waiting. Idle time does not count. */
export class DrainRate {
  #work = 0;
  #time = 0;
  #finished = 0;
  #seenAt: MonotonicTime | undefined;

  /** Notes that the queue has work waiting, or has run empty. */
  recordWaiting(waiting: boolean, now: MonotonicTime): void {
    if (this.#seenAt !== undefined) this.#decay(now - this.#seenAt);
    this.#seenAt = waiting ? now : undefined;
  }

  /** Counts finished work, in slot milliseconds. */
  recordFinish(work: number, now: MonotonicTime): void {
    if (this.#seenAt === undefined) return;
    this.recordWaiting(true, now);
    this.#work += work;
    this.#finished++;
  }

  /** Returns slot milliseconds finished per millisecond; undefined if unknown. */
  compute(now: MonotonicTime): number | undefined {
    if (this.#finished < LEAST_FINISHED) return undefined;
    const since = this.#seenAt === undefined ? 0 : now - this.#seenAt;
    const time = this.#time + since;
    return time <= 0 ? undefined : this.#work / time;
  }

  #decay(elapsed: Millis): void {
    const kept = 0.5 ** (elapsed / DRAIN_HALF_LIFE);
    this.#work *= kept;
    this.#time = this.#time * kept + elapsed;
  }
}
