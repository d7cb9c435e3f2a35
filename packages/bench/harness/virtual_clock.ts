/**
 * A discrete-event simulation clock. Actions run in the order of their times;
 * actions due at the same time run in the order in which they were scheduled.
 *
 * Simulated code may use promises. After each action the clock waits until all
 * pending microtasks have run, so a promise that is resolved at one virtual
 * time is handled at that time.
 */
import type { Clock, Millis, MonotonicTime, WallTime } from "../../core/mod.ts";

/** A callback that is scheduled for a virtual time. */
export type Action = () => void;

/** Cancels a scheduled action; without effect once it has run. */
export type CancelAction = () => void;

interface TimedAction {
  readonly at: MonotonicTime;
  /** Sequence number of the scheduling; decides between equal times. */
  readonly order: number;
  readonly action: Action;
  cancelled: boolean;
}

/** Wall time at virtual time 0: 2026-01-01T00:00:00Z. */
const START_WALL: WallTime = Date.UTC(2026, 0, 1);

/** A clock whose time advances only when scheduled actions run. */
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

  /** Schedules an action periodically, the first time after one interval. */
  scheduleEvery(interval: Millis, action: Action): void {
    this.schedule(interval, () => {
      action();
      this.scheduleEvery(interval, action);
    });
  }

  /** Returns a promise that resolves after a virtual delay. */
  wait(delay: Millis): Promise<void> {
    return new Promise((resolve) => void this.schedule(delay, resolve));
  }

  /**
   * Runs all actions due up to and including a time, then sets the clock to it.
   */
  async runUntil(end: MonotonicTime): Promise<void> {
    await finishMicrotasks();
    while (this.#runNext(end)) await finishMicrotasks();
    this.#now = Math.max(this.#now, end);
  }

  /**
   * Like {@link runUntil}, but does not run microtasks between actions. Much
   * faster, for actions that use no promises.
   */
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

/** Resolves in a later event loop iteration, when no microtask is pending. */
function finishMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(left: TimedAction, right: TimedAction): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

/** Inserts an entry into a binary min-heap ordered by {@link isBefore}. */
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

/** Removes the root of the binary heap. */
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
