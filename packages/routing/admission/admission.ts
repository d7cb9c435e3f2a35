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
import { FairQueue } from "./fair_queue.ts";
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
  readonly ticket: Ticket;
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
    this.#open.set(ticket.id, { ticket });
    state.queue.add(ticket);
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
        .filter((ticket) => isReadable(ticket, state.window))
        .find((ticket) => options.tryStart(ticket));
      if (next === undefined) break;
      state.queue.takeNext(next);
      this.#recordStart(next, options.now);
      started.push(next);
    }
    state.drain.recordWaiting(state.queue.size > 0, options.now);
    return started;
  }

  /** Notes that a request's first token has come, so that more may be sent. */
  recordFirstToken(ticketId: string, now: MonotonicTime): void {
    const open = this.#open.get(ticketId);
    if (open?.startedAt === undefined || open.unread !== true) return;
    open.unread = false;
    const { service, priority, promptTokens: tokens = 0 } = open.ticket;
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
      for (const ticket of [...state.queue.values()]) {
        if (this.#canFinish(ticket, options.now)) continue;
        refused.push(this.#refuse(ticket, options));
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
    const { ticket, startedAt } = open;
    if (open.unread === true) {
      const { window } = this.#readService(ticket.service);
      window.recordDrop(ticket.promptTokens ?? 0);
    }
    if (startedAt === undefined) this.#removeQueued(ticket, options.now);
    else this.#recordFinish(ticket, { ...options, startedAt });
    this.#close(ticket, options);
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
    const ahead = state.queue.computeAhead(ticket);
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
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): RefusedTicket {
    const retryAfter = this.#computeRetryAfter(ticket, options);
    this.#removeQueued(ticket, options.now);
    this.#close(ticket, { now: options.now, tokens: 0 });
    const late = !this.#canFinish(ticket, options.now);
    const refusal = late ? createTooLate(retryAfter) : createBusy(retryAfter);
    return { ticket, refusal };
  }

  #removeQueued(ticket: Ticket, now: MonotonicTime): void {
    const state = this.#readService(ticket.service);
    state.queue.remove(ticket);
    state.drain.recordWaiting(state.queue.size > 0, now);
  }

  #recordStart(ticket: Ticket, now: MonotonicTime): void {
    const state = this.#readService(ticket.service);
    const { id, promptTokens = 0 } = ticket;
    state.running++;
    state.drain.recordRunning(state.running, now);
    state.window.recordStart(promptTokens);
    this.#open.set(id, { ticket, startedAt: now, unread: promptTokens > 0 });
  }

  #recordFinish(
    ticket: Ticket,
    options: {
      readonly now: MonotonicTime;
      readonly startedAt: MonotonicTime;
      readonly complete?: boolean;
    },
  ): void {
    const { service, kind } = ticket;
    const state = this.#readService(service);
    state.running--;
    state.drain.recordRunning(state.running, options.now);
    if (options.complete !== true) return;
    const hold = options.now - options.startedAt;
    this.#holds.record(service, kind, hold);
  }

  #close(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly tokens: Tokens },
  ): void {
    const { id, customer, tokens } = ticket;
    this.#open.delete(id);
    const use = { expected: tokens, used: options.tokens };
    this.#uses.get(customer)?.settle(use, options.now);
  }

  #readService(service: ServiceId): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = {
      queue: new FairQueue((kind) => this.#holds.compute(service, kind)),
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
