/** A simulated one-way network link with delay, bandwidth and partitions. */
import {
  type Bytes,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
} from "../../core/mod.ts";
import { isWithin, type TimeWindow } from "./timed_table.ts";
import type { Action, VirtualClock } from "./virtual_clock.ts";

/** Parameters of a link. */
export interface FakeLinkOptions {
  readonly clock: VirtualClock;
  /** Propagation delay. */
  readonly oneWay: Millis;
  /** Bandwidth; unlimited if absent. */
  readonly bytesPerSecond?: Bytes;
  /** Time windows in which messages are lost without an error. */
  readonly partitions?: readonly TimeWindow[];
}

/**
 * Delivers messages in order. A message is lost if a partition covers the time
 * of its sending or of its arrival.
 */
export class FakeLink {
  readonly #options: FakeLinkOptions;
  #freeAt: MonotonicTime = 0;
  #counts = { bytes: 0, messages: 0, lost: 0 };

  constructor(options: FakeLinkOptions) {
    this.#options = options;
  }

  /** Returns the bytes and messages sent and the messages lost so far. */
  readCounts() {
    return { ...this.#counts };
  }

  /** Sends a message; `deliver` is called if and when it arrives. */
  send(bytes: Bytes, deliver: Action): void {
    const { clock, oneWay, bytesPerSecond } = this.#options;
    const now = clock.readMonotonic();
    this.#counts.bytes += bytes;
    this.#counts.messages++;
    const duration = bytesPerSecond === undefined
      ? 0
      : bytes * MILLIS_PER_SECOND / bytesPerSecond;
    this.#freeAt = Math.max(now, this.#freeAt) + duration;
    const arrival = this.#freeAt + oneWay;
    if (this.#isPartitioned(now) || this.#isPartitioned(arrival)) {
      this.#counts.lost++;
      return;
    }
    clock.schedule(arrival - now, deliver);
  }

  #isPartitioned(time: MonotonicTime): boolean {
    return isWithin(this.#options.partitions ?? [], time);
  }
}
