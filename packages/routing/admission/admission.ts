/**
 * Admission: limits of each customer, then a bounded queue for each service.
 *
 * A request that cannot make its deadline is refused as soon as that is known,
 * as not run and with a time at which to try again. No request waits without
 * being answered: what leaves the queue is either started, or returned to the
 * caller of these methods to be answered at once.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  createNotRun,
  type CustomerConfig,
  type CustomerId,
  type Millis,
  type MonotonicTime,
  Priority,
  type RandomSource,
  type Refusal,
  RefusalKind,
  type ServiceId,
  type Tokens,
} from "../../core/mod.ts";
import { CustomerUse, type LimitReached } from "./customer_limits.ts";
import { FairQueue, type QueuedTicket } from "./fair_queue.ts";
import { PromptWindow } from "./prompt_window.ts";
import { DrainRate, HoldTimes } from "./service_times.ts";
import type { Ticket } from "./ticket.ts";

const MOST_QUEUED = 2_000;

/** Part of the mean time that a request of a kind needs if it is short. */
const SHORT_HOLD = 0.75;

const LEAST_RETRY_AFTER: Millis = 500;

/** Part of a suggested wait that is drawn at random, so that callers spread. */
const RETRY_JITTER = 0.5;

/** A ticket that left the queue without a start, and what to tell its caller. */
export interface RefusedTicket {
  readonly ticket: Ticket;
  readonly refusal: Refusal;
}

/** A request was queued; the tickets that gave way to it are to be answered. */
export interface QueueResult {
  readonly displaced: readonly RefusedTicket[];
}

/** What one service has waiting and running on this VM. */
export interface ServiceLoad {
  readonly service: ServiceId;
  readonly queued: number;
  readonly running: number;
  /** Expected slot milliseconds worked off per millisecond. */
  readonly drainRate: number;
  /** Prompt tokens sent and unread, and the most for standard requests. */
  readonly unreadTokens: Tokens;
  readonly promptWindow: Tokens;
}

interface ServiceState {
  readonly queue: FairQueue;
  readonly drain: DrainRate;
  readonly window: PromptWindow;
  running: number;
}

interface OpenTicket {
  readonly entry: QueuedTicket;
  startedAt?: MonotonicTime;
  /** Whether its prompt was sent and no token has come back. */
  unread?: boolean;
}

/** Lets requests in, in order of priority and fair share. */
export class Admission {
  readonly #uses = new Map<CustomerId, CustomerUse>();
  readonly #services = new Map<ServiceId, ServiceState>();
  readonly #open = new Map<string, OpenTicket>();
  readonly #holds = new HoldTimes();
  readonly #mostQueued: number;

  constructor(options: { readonly mostQueued?: number } = {}) {
    this.#mostQueued = options.mostQueued ?? MOST_QUEUED;
  }

  /** Takes over the customers in force; a share of 1 is the whole limit. */
  changeCustomers(
    customers: Iterable<CustomerConfig>,
    options: {
      readonly now: MonotonicTime;
      readonly computeShare: (customer: CustomerId) => number;
    },
  ): void {
    for (const { id, limits } of customers) {
      const use = this.#uses.get(id) ?? new CustomerUse(limits, options.now);
      this.#uses.set(id, use);
      const share = options.computeShare(id);
      use.changeLimits(limits, { share, now: options.now });
    }
  }

  /** Queues a request, or refuses it by a limit, the deadline or a full queue. */
  admit(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Either<Refusal, QueueResult> {
    const { now } = options;
    const cost = this.#holds.compute(ticket.service, ticket.kind);
    const late = this.#findLate(ticket, options);
    if (late !== undefined) return Left(late);
    const state = this.#readService(ticket.service);
    const full = state.queue.size >= this.#mostQueued;
    const loser = full
      ? state.queue.findDisplaceable(ticket.priority)
      : undefined;
    if (full && loser === undefined) {
      return Left(createBusy(this.#computeRetryAfter(ticket, options)));
    }
    const limited = this.#admitCustomer(ticket, now);
    if (limited.isLeft()) return limited;
    const displaced = loser === undefined ? [] : [this.#refuse(loser, options)];
    const entry = { ticket, cost };
    this.#open.set(ticket.id, { entry });
    state.queue.add(entry);
    state.drain.recordWaiting(true, now);
    return Right({ displaced });
  }

  /**
   * Starts tickets in order until one cannot start. `tryStart` chooses a target
   * and returns false when none has room.
   */
  takeReady(
    service: ServiceId,
    options: {
      readonly now: MonotonicTime;
      readonly tryStart: (ticket: Ticket) => boolean;
    },
  ): Ticket[] {
    const state = this.#readService(service);
    const started: Ticket[] = [];
    for (;;) {
      const next = state.queue.listNext()
        .filter(({ ticket }) => isReadable(ticket, state.window))
        .find((entry) => options.tryStart(entry.ticket));
      if (next === undefined) break;
      state.queue.takeNext(next);
      this.#recordStart(next, options.now);
      started.push(next.ticket);
    }
    state.drain.recordWaiting(state.queue.size > 0, options.now);
    return started;
  }

  /** Notes that a request's first token has come, so that more may be sent. */
  recordFirstToken(ticketId: string, now: MonotonicTime): void {
    const open = this.#open.get(ticketId);
    if (open?.startedAt === undefined || open.unread !== true) return;
    open.unread = false;
    const { service, priority, promptTokens: tokens = 0 } = open.entry.ticket;
    const delay = now - open.startedAt;
    const { window } = this.#readService(service);
    window.recordRead({ priority, tokens, delay, now });
  }

  /** Returns queued tickets that cannot make their deadline any more. */
  expire(
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): RefusedTicket[] {
    const refused: RefusedTicket[] = [];
    for (const state of this.#services.values()) {
      for (const entry of [...state.queue.values()]) {
        if (this.#canFinish(entry.ticket, options.now)) continue;
        refused.push(this.#refuse(entry, options));
      }
    }
    return refused;
  }

  /** Counts a request out: it ended, failed, or its caller gave up. */
  finish(
    ticketId: string,
    options: {
      readonly now: MonotonicTime;
      readonly tokens: Tokens;
      /** Whether its whole answer arrived, so that its time teaches something. */
      readonly complete?: boolean;
    },
  ): void {
    const open = this.#open.get(ticketId);
    if (open === undefined) return;
    const { entry, startedAt } = open;
    if (open.unread === true) {
      const { service, promptTokens } = entry.ticket;
      const { window } = this.#readService(service);
      window.recordDrop(promptTokens ?? 0);
    }
    if (startedAt === undefined) this.#removeQueued(entry, options.now);
    else this.#recordFinish(entry, { ...options, startedAt });
    this.#close(entry, options);
  }

  /** Returns what each service has waiting and running. */
  listLoads(): ServiceLoad[] {
    return [...this.#services].map(([service, state]) => ({
      service,
      queued: state.queue.size,
      running: state.running,
      drainRate: state.drain.compute(),
      unreadTokens: state.window.unread,
      promptWindow: state.window.readSize(Priority.Standard),
    }));
  }

  /** Returns how long a new ticket would wait for its start, as far as known. */
  computeWait(ticket: Ticket): Millis {
    const state = this.#readService(ticket.service);
    if (state.queue.size === 0) return 0;
    const cost = this.#holds.compute(ticket.service, ticket.kind);
    const ahead = state.queue.computeAhead(ticket, cost);
    const rate = state.drain.compute();
    // Nothing has run yet, so nothing is known of how long it would take.
    return rate === 0 ? 0 : ahead / rate;
  }

  #admitCustomer(
    ticket: Ticket,
    now: MonotonicTime,
  ): Either<Refusal, void> {
    const use = this.#uses.get(ticket.customer);
    if (use === undefined) return Right(undefined);
    return use.admit(ticket.tokens, now).mapLeft(createLimited);
  }

  #findLate(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Refusal | undefined {
    const wait = this.computeWait(ticket);
    // Without a wait it is tried: refusing would teach nothing about the target.
    if (wait === 0) return undefined;
    if (this.#canFinish(ticket, options.now + wait)) return undefined;
    return createTooLate(this.#computeRetryAfter(ticket, options));
  }

  #canFinish(ticket: Ticket, startAt: MonotonicTime): boolean {
    const hold = this.#holds.find(ticket.service, ticket.kind) ?? 0;
    return startAt + SHORT_HOLD * hold <= ticket.deadline;
  }

  #computeRetryAfter(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Millis {
    const longest = ticket.deadline - ticket.arrivedAt;
    const wait = Math.min(this.computeWait(ticket), longest);
    const jitter = 1 + RETRY_JITTER * options.random();
    return Math.ceil(Math.max(LEAST_RETRY_AFTER, wait) * jitter);
  }

  #refuse(
    entry: QueuedTicket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): RefusedTicket {
    const retryAfter = this.#computeRetryAfter(entry.ticket, options);
    this.#removeQueued(entry, options.now);
    this.#close(entry, { now: options.now, tokens: 0 });
    const late = !this.#canFinish(entry.ticket, options.now);
    const refusal = late ? createTooLate(retryAfter) : createBusy(retryAfter);
    return { ticket: entry.ticket, refusal };
  }

  #removeQueued(entry: QueuedTicket, now: MonotonicTime): void {
    const state = this.#readService(entry.ticket.service);
    state.queue.remove(entry);
    state.drain.recordWaiting(state.queue.size > 0, now);
  }

  #recordStart(entry: QueuedTicket, now: MonotonicTime): void {
    const state = this.#readService(entry.ticket.service);
    const { id, promptTokens = 0 } = entry.ticket;
    state.running++;
    state.drain.recordRunning(state.running, now);
    state.window.recordStart(promptTokens);
    this.#open.set(id, { entry, startedAt: now, unread: promptTokens > 0 });
  }

  #recordFinish(
    entry: QueuedTicket,
    options: {
      readonly now: MonotonicTime;
      readonly startedAt: MonotonicTime;
      readonly complete?: boolean;
    },
  ): void {
    const { service, kind } = entry.ticket;
    const state = this.#readService(service);
    state.running--;
    state.drain.recordRunning(state.running, options.now);
    if (options.complete !== true) return;
    const hold = options.now - options.startedAt;
    state.drain.recordHold(entry.cost, hold);
    this.#holds.record(service, kind, hold);
  }

  #close(
    entry: QueuedTicket,
    options: { readonly now: MonotonicTime; readonly tokens: Tokens },
  ): void {
    const { id, customer, tokens } = entry.ticket;
    this.#open.delete(id);
    const use = { expected: tokens, used: options.tokens };
    this.#uses.get(customer)?.settle(use, options.now);
  }

  #readService(service: ServiceId): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = {
      queue: new FairQueue(),
      drain: new DrainRate(),
      window: new PromptWindow(),
      running: 0,
    };
    this.#services.set(service, state);
    return state;
  }
}

function isReadable(ticket: Ticket, window: PromptWindow): boolean {
  return (ticket.promptTokens ?? 0) === 0 || window.hasRoom(ticket.priority);
}

function createLimited(reached: LimitReached): Refusal {
  return createNotRun(
    RefusalKind.RateLimited,
    "You have sent as much as was agreed for this moment. Nothing was done. Please try again shortly.",
    { retryAfter: Math.ceil(reached.retryAfter) },
  );
}

function createTooLate(retryAfter: Millis): Refusal {
  return createNotRun(
    RefusalKind.DeadlineTooSoon,
    "We are busy and could not have answered in time. Nothing was done. Please try again a little later.",
    { retryAfter },
  );
}

function createBusy(retryAfter: Millis): Refusal {
  return createNotRun(
    RefusalKind.Overloaded,
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
    { retryAfter },
  );
}
