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

/**
 * How fast a queue drains: the slots that are busy while it waits, each of
 * which works off a slot millisecond per millisecond. Idle time does not count.
 */
export class DrainRate {
  #busy = 0;
  #time: Millis = 0;
  #running = 0;
  #seenAt: MonotonicTime | undefined;

  /** Notes that the queue has work waiting, or has run empty. */
  recordWaiting(waiting: boolean, now: MonotonicTime): void {
    this.#integrate(now);
    this.#seenAt = waiting ? now : undefined;
  }

  /** Notes how many slots are busy from now on. */
  recordRunning(running: number, now: MonotonicTime): void {
    this.#integrate(now);
    this.#running = running;
  }

  /** Returns slot milliseconds that are worked off per millisecond. */
  compute(): number {
    const busy = this.#time > 0 ? this.#busy / this.#time : this.#running;
    return Math.max(busy, this.#running);
  }

  #integrate(now: MonotonicTime): void {
    if (this.#seenAt === undefined) return;
    const elapsed = now - this.#seenAt;
    const kept = 0.5 ** (elapsed / DRAIN_HALF_LIFE);
    this.#busy = this.#busy * kept + this.#running * elapsed;
    this.#time = this.#time * kept + elapsed;
    this.#seenAt = now;
  }
}
