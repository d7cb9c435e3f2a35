/** A one-way link with delay, bandwidth and partitions. */
import {
  type Bytes,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
} from "../../core/mod.ts";
import { isWithin, type TimeWindow } from "./timed_table.ts";
import type { Action, VirtualClock } from "./virtual_clock.ts";

/** How a link behaves. */
export interface FakeLinkOptions {
  readonly clock: VirtualClock;
  readonly oneWay: Millis;
  /** Unlimited when absent. */
  readonly bytesPerSecond?: Bytes;
  /** Spans in which messages vanish without a word. */
  readonly partitions?: readonly TimeWindow[];
}

/** Carries messages in order; a partition loses those under way. */
export class FakeLink {
  readonly #options: FakeLinkOptions;
  #freeAt: MonotonicTime = 0;
  #counts = { bytes: 0, messages: 0, lost: 0 };

  constructor(options: FakeLinkOptions) {
    this.#options = options;
  }

  /** Returns what went over the link so far. */
  readCounts() {
    return { ...this.#counts };
  }

  /** Sends a message; `deliver` runs when and if it arrives. */
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
