/**
 * Virtual time: a clock and a queue of events, run in the order of their times
 * and, at one time, in the order in which they were scheduled.
 *
 * Code under measurement may use promises. After each event the clock lets all
 * pending microtasks finish before it moves on, so a promise that is resolved
 * at one virtual time is handled at that time.
 */
import type { Clock, Millis, MonotonicTime, WallTime } from "../../core/mod.ts";

/** Work that is due at a time. */
export type Action = () => void;

/** Takes a scheduled action back; without effect once it has run. */
export type CancelAction = () => void;

interface TimedAction {
  readonly at: MonotonicTime;
  readonly order: number;
  readonly action: Action;
  cancelled: boolean;
}

/** Wall time at which experiments begin: 2026-01-01T00:00:00Z. */
const START_WALL: WallTime = Date.UTC(2026, 0, 1);

/** A clock that moves from event to event. */
export class VirtualClock implements Clock {
  readonly #queue: TimedAction[] = [];
  #now: MonotonicTime = 0;
  #scheduled = 0;

  readMonotonic(): MonotonicTime {
    return this.#now;
  }

  readWall(): WallTime {
    return START_WALL + this.#now;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  schedule(delay: Millis, action: Action): CancelAction {
    const entry = {
      at: this.#now + Math.max(0, delay),
      order: this.#scheduled++,
      action,
      cancelled: false,
    };
    addEntry(this.#queue, entry);
    return () => {
      entry.cancelled = true;
    };
  }

  /** Schedules an action at every interval, first after one interval. */
  scheduleEvery(interval: Millis, action: Action): void {
    this.schedule(interval, () => {
      action();
      this.scheduleEvery(interval, action);
    });
  }

  /** Returns a promise that resolves after a delay of virtual time. */
  wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => void this.schedule(delay, resolve));
  }

  /** Runs every action due up to a time, inclusive, and moves the clock there. */
  async runUntil(end: MonotonicTime): Promise<void> {
    await finishMicrotasks();
    while (this.#runNext(end)) await finishMicrotasks();
    this.#now = Math.max(this.#now, end);
  }

  /** Like {@link runUntil} for actions that use no promises; much faster. */
  runSynchronouslyUntil(end: MonotonicTime): void {
    while (this.#runNext(end));
    this.#now = Math.max(this.#now, end);
  }

  #runNext(end: MonotonicTime): boolean {
    const next = this.#queue[0];
    if (next === undefined || next.at > end) return false;
    removeFirst(this.#queue);
    if (next.cancelled) return true;
    this.#now = next.at;
    next.action();
    return true;
  }
}

function finishMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(left: TimedAction, right: TimedAction): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

/** Adds an entry to a binary heap whose first entry is due first. */
function addEntry(heap: TimedAction[], entry: TimedAction): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(entry, heap[parent]!)) break;
    heap[index] = heap[parent]!;
    index = parent;
  }
  heap[index] = entry;
}

function removeFirst(heap: TimedAction[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let index = 0;
  while (true) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right !== undefined && isBefore(right, heap[child]!)) child++;
    if (!isBefore(heap[child]!, last)) break;
    heap[index] = heap[child]!;
    index = child;
  }
  heap[index] = last;
}
