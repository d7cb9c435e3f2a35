/**
 * The queue of one service: the first priority first, and within a priority
 * each customer by its weighted share of the work (start-time fair queueing).
 */
import { type CustomerId, type KindId, Priority } from "../../core/mod.ts";
import type { Ticket } from "./ticket.ts";

/** Priorities, the first to be served first. */
export const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Safety,
  Priority.Interactive,
  Priority.Standard,
  Priority.Bulk,
];

/** Every so many starts the last priority goes first, so that it never starves. */
const LOWEST_PRIORITY_INTERVAL = 16;

/** Returns the milliseconds of one slot that a kind is expected to take now. */
export type CostFunction = (kind: KindId) => number;

interface Backlog {
  readonly tickets: Ticket[];
  readonly countsByKind: Map<KindId, number>;
  weight: number;
  /** Virtual time at which its first ticket starts. */
  start: number;
}

/** One priority's backlogs by customer. */
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

  /** Returns the ticket whose customer is furthest behind its share. */
  findFirst(): Ticket | undefined {
    return this.#findFirstBacklog()?.tickets[0];
  }

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

  /** Returns the newest ticket of the customer with the most work waiting. */
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

  /** Returns the work of all its tickets, in slot milliseconds. */
  computeWork(): number {
    let work = 0;
    for (const backlog of this.#backlogs.values()) {
      work += this.#computeWork(backlog);
    }
    return work;
  }

  /** Returns the work that goes before a new ticket of a customer. */
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

  /** Adds a ticket behind its customer's others of the same priority. */
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

  /** Takes a ticket that may start next. */
  takeNext(ticket: Ticket): void {
    this.#getClass(ticket.priority).takeFirst();
    this.#starts++;
  }

  /** Removes a ticket; returns false if it is not queued. */
  remove(ticket: Ticket): boolean {
    return this.#getClass(ticket.priority).remove(ticket);
  }

  /** Returns a ticket of a later priority that a new one may displace. */
  findDisplaceable(priority: Priority): Ticket | undefined {
    const rank = PRIORITY_ORDER.indexOf(priority);
    const later = PRIORITY_ORDER.slice(rank + 1).reverse();
    const found = later.map((each) => this.#getClass(each))
      .find((each) => each.size > 0);
    return found?.findDisplaceable();
  }

  /** Returns the work, in slot milliseconds, that goes before a new ticket. */
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
