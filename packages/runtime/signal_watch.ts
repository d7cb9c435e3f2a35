/**
 * Tells when a signal that is handled now can have arrived at the earliest. A
 * signal waits until the event loop polls, and nothing tells for how long. One
 * that had arrived before a poll is handled in that poll, so a signal that is
 * handled later arrived after the last poll without one.
 */
import type { Millis, MonotonicTime, Undo } from "../core/mod.ts";

/** Time between two observed polls of a process that is idle. */
const OBSERVATION_INTERVAL: Millis = 100;

/** Observes the polls of this process's event loop. */
export class SignalWatch {
  readonly #readTime: () => MonotonicTime;
  #lastPollAt: MonotonicTime;

  constructor(readTime: () => MonotonicTime) {
    this.#readTime = readTime;
    this.#lastPollAt = readTime();
  }

  /**
   * A time after which a signal arrived that is handled now: the latest known
   * start of a poll that handled all earlier signals, or the creation of this
   * watch.
   */
  get lastPollAt(): MonotonicTime {
    return this.#lastPollAt;
  }

  /** Begins to observe; does not keep the process running. */
  start(): Undo {
    const timer = setInterval(() => this.#observe(), OBSERVATION_INTERVAL);
    timer.unref();
    return () => clearInterval(timer);
  }

  /** Immediates run after the poll that follows the timers. */
  #observe(): void {
    const startedAt = this.#readTime();
    setImmediate(() => (this.#lastPollAt = startedAt));
  }
}
