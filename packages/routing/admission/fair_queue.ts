/**
 * The queue of one service: the first priority first, and within a priority
 * each customer by its weighted share of the work (start-time fair queueing).
 */
import { type CustomerId, Priority } from "../../core/mod.ts";
import type { Ticket } from "./ticket.ts";

/** Priorities, the first to be served first. */
export const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Safety,
  Priority.Interactive,
  Priority.Standard,
  Priority.Bulk,
];

/** Every so many starts the last priority goes first, so that it never starves. */
const STARTS_PER_LAST = 16;

/** A queued ticket with the slot time it is expected to take. */
export interface QueuedTicket {
  readonly ticket: Ticket;
  /** Expected milliseconds of one slot. */
  readonly cost: number;
}

interface Backlog {
  readonly entries: QueuedTicket[];
  weight: number;
  cost: number;
  /** Virtual time at which its first entry starts. */
  start: number;
}

/** One priority's backlogs by customer. */
class PriorityClass {
  readonly #backlogs = new Map<CustomerId, Backlog>();
  #virtualTime = 0;
  #size = 0;
  #cost = 0;

  get size(): number {
    return this.#size;
  }

  get cost(): number {
    return this.#cost;
  }

  add(entry: QueuedTicket): void {
    const { customer, weight } = entry.ticket;
    const backlog = this.#backlogs.get(customer) ??
      { entries: [], weight, cost: 0, start: this.#virtualTime };
    if (backlog.entries.length === 0) {
      backlog.start = Math.max(backlog.start, this.#virtualTime);
    }
    backlog.weight = weight;
    backlog.entries.push(entry);
    this.#backlogs.set(customer, backlog);
    this.#changeTotals(backlog, entry, 1);
  }

  /** Returns the entry whose customer is furthest behind its share. */
  findFirst(): QueuedTicket | undefined {
    return this.#findFirstBacklog()?.entries[0];
  }

  takeFirst(): QueuedTicket | undefined {
    const backlog = this.#findFirstBacklog();
    const entry = backlog?.entries.shift();
    if (backlog === undefined || entry === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, backlog.start);
    backlog.start += entry.cost / backlog.weight;
    this.#changeTotals(backlog, entry, -1);
    this.#dropIdle();
    return entry;
  }

  remove(entry: QueuedTicket): boolean {
    const backlog = this.#backlogs.get(entry.ticket.customer);
    const index = backlog?.entries.indexOf(entry) ?? -1;
    if (backlog === undefined || index < 0) return false;
    backlog.entries.splice(index, 1);
    this.#changeTotals(backlog, entry, -1);
    return true;
  }

  /** Returns the newest entry of the customer with the most work waiting. */
  findDisplaceable(): QueuedTicket | undefined {
    let longest: Backlog | undefined;
    for (const backlog of this.#backlogs.values()) {
      const share = backlog.cost / backlog.weight;
      if (longest === undefined || share > longest.cost / longest.weight) {
        longest = backlog;
      }
    }
    return longest?.entries.at(-1);
  }

  /** Returns the work that goes before a new entry of a customer. */
  computeAhead(ticket: Ticket, cost: number): number {
    const own = this.#backlogs.get(ticket.customer)?.cost ?? 0;
    const rounds = (own + cost) / ticket.weight;
    let ahead = own;
    for (const [customer, backlog] of this.#backlogs) {
      if (customer === ticket.customer) continue;
      ahead += Math.min(backlog.cost, rounds * backlog.weight);
    }
    return ahead;
  }

  *values(): IterableIterator<QueuedTicket> {
    for (const backlog of this.#backlogs.values()) yield* backlog.entries;
  }

  #findFirstBacklog(): Backlog | undefined {
    let first: Backlog | undefined;
    for (const backlog of this.#backlogs.values()) {
      if (backlog.entries.length === 0) continue;
      if (first === undefined || backlog.start < first.start) first = backlog;
    }
    return first;
  }

  #changeTotals(backlog: Backlog, entry: QueuedTicket, sign: 1 | -1): void {
    backlog.cost += sign * entry.cost;
    this.#cost += sign * entry.cost;
    this.#size += sign;
  }

  #dropIdle(): void {
    for (const [customer, backlog] of this.#backlogs) {
      const idle = backlog.entries.length === 0;
      if (idle && backlog.start <= this.#virtualTime) {
        this.#backlogs.delete(customer);
      }
    }
  }
}

/** The queued tickets of one service. */
export class FairQueue {
  readonly #classes = new Map<Priority, PriorityClass>(
    PRIORITY_ORDER.map((priority) => [priority, new PriorityClass()]),
  );
  #starts = 0;

  /** Number of queued tickets. */
  get size(): number {
    let size = 0;
    for (const each of this.#classes.values()) size += each.size;
    return size;
  }

  /** Returns the number of queued tickets of a priority. */
  readSize(priority: Priority): number {
    return this.#readClass(priority).size;
  }

  /** Adds a ticket behind its customer's others of the same priority. */
  add(entry: QueuedTicket): void {
    this.#readClass(entry.ticket.priority).add(entry);
  }

  /** Returns the tickets that may start next, the preferred one first. */
  listNext(): QueuedTicket[] {
    const waiting = [...this.#classes.values()].filter((each) => each.size > 0);
    const lastFirst = this.#starts % STARTS_PER_LAST === STARTS_PER_LAST - 1;
    const classes = lastFirst ? [waiting.at(-1), waiting[0]] : [waiting[0]];
    return classes
      .map((each) => each?.findFirst())
      .filter((entry) => entry !== undefined);
  }

  /** Takes a ticket that may start next. */
  takeNext(entry: QueuedTicket): void {
    this.#readClass(entry.ticket.priority).takeFirst();
    this.#starts++;
  }

  /** Removes a ticket; returns false if it is not queued. */
  remove(entry: QueuedTicket): boolean {
    return this.#readClass(entry.ticket.priority).remove(entry);
  }

  /** Returns a ticket of a later priority that a new one may displace. */
  findDisplaceable(priority: Priority): QueuedTicket | undefined {
    const place = PRIORITY_ORDER.indexOf(priority);
    const later = PRIORITY_ORDER.slice(place + 1).reverse();
    const found = later.map((each) => this.#readClass(each))
      .find((each) => each.size > 0);
    return found?.findDisplaceable();
  }

  /** Returns the work, in slot milliseconds, that goes before a new ticket. */
  computeAhead(ticket: Ticket, cost: number): number {
    const place = PRIORITY_ORDER.indexOf(ticket.priority);
    const before = PRIORITY_ORDER.slice(0, place)
      .reduce((sum, each) => sum + this.#readClass(each).cost, 0);
    return before + this.#readClass(ticket.priority).computeAhead(ticket, cost);
  }

  /** Returns every queued ticket. */
  *values(): IterableIterator<QueuedTicket> {
    for (const each of this.#classes.values()) yield* each.values();
  }

  #readClass(priority: Priority): PriorityClass {
    return this.#classes.get(priority)!;
  }
}
