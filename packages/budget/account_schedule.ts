/**
 * Schedules accounts by the time when their next exchange is to be planned.
 *
 * The schedule is a binary heap. Outdated entries stay in it and are skipped
 * when they reach the top, so the cost of taking due accounts grows with their
 * number and not with the number of all accounts.
 */
import type { EventId, MonotonicTime } from "../core/mod.ts";

interface HeapEntry {
  readonly due: MonotonicTime;
  readonly eventId: EventId;
}

/**
 * The heap is rebuilt when it exceeds twice the number of scheduled events by
 * more entries than this.
 */
const MAX_OUTDATED = 1_024;

/** Priority queue of events, ordered by due time. */
export class AccountSchedule {
  readonly #due = new Map<EventId, MonotonicTime>();
  #heap: HeapEntry[] = [];

  /** Number of scheduled events. */
  get size(): number {
    return this.#due.size;
  }

  /** Sets when an event is due; undefined removes it from the schedule. */
  change(eventId: EventId, due: MonotonicTime | undefined): void {
    if (due === undefined) {
      this.#due.delete(eventId);
      return;
    }
    if (this.#due.get(eventId) === due) return;
    this.#due.set(eventId, due);
    this.#push({ due, eventId });
    if (this.#heap.length > 2 * this.#due.size + MAX_OUTDATED) this.#rebuild();
  }

  /**
   * Returns when the first event is due, or undefined when none is scheduled.
   */
  readNextDue(): MonotonicTime | undefined {
    this.#dropOutdated();
    return this.#heap[0]?.due;
  }

  /** Removes and returns up to `maxCount` due events, the earliest first. */
  takeDue(now: MonotonicTime, maxCount: number): EventId[] {
    const taken: EventId[] = [];
    while (taken.length < maxCount) {
      const due = this.readNextDue();
      if (due === undefined || due > now) break;
      const entry = this.#pop();
      this.#due.delete(entry.eventId);
      taken.push(entry.eventId);
    }
    return taken;
  }

  #dropOutdated(): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined) return;
      if (this.#due.get(first.eventId) === first.due) return;
      this.#pop();
    }
  }

  #rebuild(): void {
    this.#heap = [...this.#due].map(([eventId, due]) => ({ due, eventId }));
    // A sorted array is a heap.
    this.#heap.sort((left, right) => left.due - right.due);
  }

  #push(entry: HeapEntry): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEntry = heap[parent]!;
      if (parentEntry.due <= entry.due) break;
      heap[index] = parentEntry;
      index = parent;
    }
    heap[index] = entry;
  }

  #pop(): HeapEntry {
    const heap = this.#heap;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) this.#siftDown(last);
    return first;
  }

  #siftDown(entry: HeapEntry): void {
    const heap = this.#heap;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && right.due < heap[child]!.due) child++;
      if (heap[child]!.due >= entry.due) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = entry;
  }
}
