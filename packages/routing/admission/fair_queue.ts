/**
 * The queue of one service. Higher priorities are served first. Within a
 * priority, customers share the work by weight (start-time fair queueing).
 */
import { type CustomerId, type KindId, Priority } from "../../core/mod.ts";
import type { Ticket } from "./ticket.ts";

/** Priorities in the order in which they are served. */
export const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Safety,
  Priority.Interactive,
  Priority.Standard,
  Priority.Bulk,
];

/**
 * One start in this many prefers the lowest waiting priority, to avoid
 * starvation.
 */
const LOWEST_PRIORITY_INTERVAL = 16;

/**
 * Returns the expected service time of a kind of request, in slot milliseconds.
 */
export type CostFunction = (kind: KindId) => number;

/** The waiting tickets of one customer in one priority. */
interface Backlog {
  readonly tickets: Ticket[];
  /** Number of waiting tickets of each kind. */
  readonly countsByKind: Map<KindId, number>;
  weight: number;
  /** Start tag: virtual time at which its first ticket starts. */
  start: number;
}

/** The backlogs of one priority, by customer. */
class PriorityClass {
  readonly #computeCost: CostFunction;
  readonly #backlogs = new Map<CustomerId, Backlog>();
  #virtualTime = 0;
  #size = 0;

  constructor(computeCost: CostFunction) {
    this.#computeCost = computeCost;
  }

  get size(): number {
    return this.#size;
  }

  add(ticket: Ticket): void {
    const { customer, weight } = ticket;
    const start = this.#virtualTime;
    const backlog: Backlog = this.#backlogs.get(customer) ??
      { tickets: [], countsByKind: new Map(), weight, start };
    if (backlog.tickets.length === 0) {
      backlog.start = Math.max(backlog.start, this.#virtualTime);
    }
    backlog.weight = weight;
    backlog.tickets.push(ticket);
    this.#backlogs.set(customer, backlog);
    this.#updateCounts(backlog, ticket, 1);
  }

  /** Returns the first ticket of the backlog with the smallest start tag. */
  findFirst(): Ticket | undefined {
    return this.#findFirstBacklog()?.tickets[0];
  }

  /**
   * Removes the ticket that `findFirst` returns, and advances the start tag of
   * its backlog.
   */
  takeFirst(): void {
    const backlog = this.#findFirstBacklog();
    const ticket = backlog?.tickets.shift();
    if (backlog === undefined || ticket === undefined) return;
    this.#virtualTime = Math.max(this.#virtualTime, backlog.start);
    backlog.start += this.#computeCost(ticket.kind) / backlog.weight;
    this.#updateCounts(backlog, ticket, -1);
    this.#dropIdle();
  }

  remove(ticket: Ticket): boolean {
    const backlog = this.#backlogs.get(ticket.customer);
    const index = backlog?.tickets.indexOf(ticket) ?? -1;
    if (backlog === undefined || index < 0) return false;
    backlog.tickets.splice(index, 1);
    this.#updateCounts(backlog, ticket, -1);
    return true;
  }

  /**
   * Returns the newest ticket of the customer with the most waiting work per
   * weight.
   */
  findDisplaceable(): Ticket | undefined {
    let largest: Backlog | undefined;
    let maxWeightedWork = -1;
    for (const backlog of this.#backlogs.values()) {
      const weightedWork = this.#computeWork(backlog) / backlog.weight;
      if (weightedWork <= maxWeightedWork) continue;
      largest = backlog;
      maxWeightedWork = weightedWork;
    }
    return largest?.tickets.at(-1);
  }

  /** Returns the work of all waiting tickets, in slot milliseconds. */
  computeWork(): number {
    let work = 0;
    for (const backlog of this.#backlogs.values()) {
      work += this.#computeWork(backlog);
    }
    return work;
  }

  /**
   * Returns the work, in slot milliseconds, that is served before a new ticket.
   */
  computeWorkAhead(ticket: Ticket): number {
    const known = this.#backlogs.get(ticket.customer);
    const own = known === undefined ? 0 : this.#computeWork(known);
    const normalizedWork = (own + this.#computeCost(ticket.kind)) /
      ticket.weight;
    let workAhead = own;
    for (const [customer, backlog] of this.#backlogs) {
      if (customer === ticket.customer) continue;
      const work = this.#computeWork(backlog);
      workAhead += Math.min(work, normalizedWork * backlog.weight);
    }
    return workAhead;
  }

  *values(): IterableIterator<Ticket> {
    for (const backlog of this.#backlogs.values()) yield* backlog.tickets;
  }

  #computeWork(backlog: Backlog): number {
    let work = 0;
    for (const [kind, count] of backlog.countsByKind) {
      work += count * this.#computeCost(kind);
    }
    return work;
  }

  #findFirstBacklog(): Backlog | undefined {
    let first: Backlog | undefined;
    for (const backlog of this.#backlogs.values()) {
      if (backlog.tickets.length === 0) continue;
      if (first === undefined || backlog.start < first.start) first = backlog;
    }
    return first;
  }

  #updateCounts(backlog: Backlog, ticket: Ticket, sign: 1 | -1): void {
    const { kind } = ticket;
    const count = (backlog.countsByKind.get(kind) ?? 0) + sign;
    if (count === 0) backlog.countsByKind.delete(kind);
    else backlog.countsByKind.set(kind, count);
    this.#size += sign;
  }

  /** Drops empty backlogs whose start tag no longer affects the order. */
  #dropIdle(): void {
    for (const [customer, backlog] of this.#backlogs) {
      const idle = backlog.tickets.length === 0;
      if (idle && backlog.start <= this.#virtualTime) {
        this.#backlogs.delete(customer);
      }
    }
  }
}

/** The queued tickets of one service. */
export class FairQueue {
  readonly #classes: ReadonlyMap<Priority, PriorityClass>;
  #starts = 0;

  constructor(computeCost: CostFunction) {
    this.#classes = new Map(
      PRIORITY_ORDER.map((each) => [each, new PriorityClass(computeCost)]),
    );
  }

  /** Number of queued tickets. */
  get size(): number {
    let size = 0;
    for (const each of this.#classes.values()) size += each.size;
    return size;
  }

  /** Returns the number of queued tickets of a priority. */
  getSize(priority: Priority): number {
    return this.#getClass(priority).size;
  }

  /** Appends a ticket to the backlog of its customer and priority. */
  add(ticket: Ticket): void {
    this.#getClass(ticket.priority).add(ticket);
  }

  /** Returns the tickets that may start next, the preferred one first. */
  listNext(): Ticket[] {
    const waiting = [...this.#classes.values()].filter((each) => each.size > 0);
    const lowestFirst =
      this.#starts % LOWEST_PRIORITY_INTERVAL === LOWEST_PRIORITY_INTERVAL - 1;
    const classes = lowestFirst ? [waiting.at(-1), waiting[0]] : [waiting[0]];
    return classes
      .map((each) => each?.findFirst())
      .filter((ticket) => ticket !== undefined);
  }

  /** Removes a ticket that `listNext` returned, and counts its start. */
  takeNext(ticket: Ticket): void {
    this.#getClass(ticket.priority).takeFirst();
    this.#starts++;
  }

  /** Removes a ticket; returns false if it is not queued. */
  remove(ticket: Ticket): boolean {
    return this.#getClass(ticket.priority).remove(ticket);
  }

  /** Returns a ticket of the lowest waiting priority below the given one. */
  findDisplaceable(priority: Priority): Ticket | undefined {
    const rank = PRIORITY_ORDER.indexOf(priority);
    const later = PRIORITY_ORDER.slice(rank + 1).reverse();
    const found = later.map((each) => this.#getClass(each))
      .find((each) => each.size > 0);
    return found?.findDisplaceable();
  }

  /** Returns the work, in slot milliseconds, served before a new ticket. */
  computeWorkAhead(ticket: Ticket): number {
    const rank = PRIORITY_ORDER.indexOf(ticket.priority);
    const before = PRIORITY_ORDER.slice(0, rank)
      .reduce((sum, each) => sum + this.#getClass(each).computeWork(), 0);
    return before + this.#getClass(ticket.priority).computeWorkAhead(ticket);
  }

  /** Returns every queued ticket. */
  *values(): IterableIterator<Ticket> {
    for (const each of this.#classes.values()) yield* each.values();
  }

  #getClass(priority: Priority): PriorityClass {
    return this.#classes.get(priority)!;
  }
}
