/**
 * Admission control: per-customer limits, then a bounded queue per service.
 *
 * A request that cannot meet its deadline is refused as soon as that is known.
 * The refusal says that the request was not run and when to retry. No request
 * leaves the queue silently: it is either started, or returned to the caller of
 * these methods together with the refusal to send.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  createNotRunRefusal,
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
import { CustomerUsage, type LimitReached } from "./customer_limits.ts";
import { FairQueue } from "./fair_queue.ts";
import { PromptWindow } from "./prompt_window.ts";
import { DrainRate, ServiceTimes } from "./service_times.ts";
import type { Ticket } from "./ticket.ts";

/** Default bound on the queued requests of one service. */
const MAX_QUEUED = 2_000;

/**
 * Fraction of the mean service time of its kind that a request is assumed to
 * need at least when its deadline is checked, as some requests are short.
 */
const SHORT_SERVICE_TIME_FACTOR = 0.75;

/** Lower bound on a suggested retry delay before jitter. */
const MIN_RETRY_AFTER: Millis = 500;

/** Random part added to a suggested retry delay, so that retries spread out. */
const RETRY_JITTER = 0.5;

/** A ticket that left the queue without being started, and its refusal. */
export interface RefusedTicket {
  readonly ticket: Ticket;
  readonly refusal: Refusal;
}

/** Result of queueing a request. The displaced tickets must be answered. */
export interface QueueResult {
  readonly displaced: readonly RefusedTicket[];
}

/** Queued and running requests of one service on this VM. */
export interface ServiceLoad {
  readonly service: ServiceId;
  readonly queued: number;
  readonly running: number;
  /** Expected slot milliseconds of work completed per millisecond. */
  readonly drainRate: number;
  /** Prompt tokens sent to engines whose prefill has not finished. */
  readonly unreadTokens: Tokens;
  /** Bound on those tokens for requests of standard priority. */
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
  /** Whether its prompt was sent and no token of the answer has arrived. */
  awaitsFirstToken?: boolean;
}

/** Queues requests and starts them by priority and weighted fair share. */
export class Admission {
  readonly #usage = new Map<CustomerId, CustomerUsage>();
  readonly #services = new Map<ServiceId, ServiceState>();
  readonly #openTickets = new Map<string, OpenTicket>();
  readonly #serviceTimes = new ServiceTimes();
  readonly #maxQueued: number;

  constructor(options: { readonly maxQueued?: number } = {}) {
    this.#maxQueued = options.maxQueued ?? MAX_QUEUED;
  }

  /**
   * Applies the configured customers. `computeShare` returns the fraction of a
   * customer's limits that this VM enforces; 1 is the whole limit.
   */
  changeCustomers(
    customers: Iterable<CustomerConfig>,
    options: {
      readonly now: MonotonicTime;
      readonly computeShare: (customer: CustomerId) => number;
    },
  ): void {
    for (const { id, limits } of customers) {
      const usage = this.#usage.get(id) ??
        new CustomerUsage(limits, options.now);
      this.#usage.set(id, usage);
      const share = options.computeShare(id);
      usage.changeLimits(limits, { share, now: options.now });
    }
  }

  /**
   * Queues a request, or refuses it because of a customer limit, its deadline or
   * a full queue. A full queue may displace a ticket of lower priority instead.
   */
  admit(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Either<Refusal, QueueResult> {
    const { now } = options;
    const lateRefusal = this.#findDeadlineRefusal(ticket, options);
    if (lateRefusal !== undefined) return Left(lateRefusal);
    const state = this.#getOrCreateService(ticket.service);
    const full = state.queue.size >= this.#maxQueued;
    const displaceable = full
      ? state.queue.findDisplaceable(ticket.priority)
      : undefined;
    if (full && displaceable === undefined) {
      return Left(createOverloaded(this.#computeRetryAfter(ticket, options)));
    }
    const limited = this.#admitCustomer(ticket, now);
    if (limited.isLeft()) return limited;
    const displaced = displaceable === undefined
      ? []
      : [this.#refuse(displaceable, options)];
    this.#openTickets.set(ticket.id, { ticket });
    state.queue.add(ticket);
    state.drain.recordWaiting(true, now);
    return Right({ displaced });
  }

  /**
   * Starts queued tickets in order until none of the next ones can start.
   * `tryStart` chooses a target and returns false when none has room.
   */
  takeReady(
    service: ServiceId,
    options: {
      readonly now: MonotonicTime;
      readonly tryStart: (ticket: Ticket) => boolean;
    },
  ): Ticket[] {
    const state = this.#getOrCreateService(service);
    const started: Ticket[] = [];
    for (;;) {
      const next = state.queue.listNext()
        .filter((ticket) => fitsPromptWindow(ticket, state.window))
        .find((ticket) => options.tryStart(ticket));
      if (next === undefined) break;
      state.queue.takeNext(next);
      this.#recordStart(next, options.now);
      started.push(next);
    }
    state.drain.recordWaiting(state.queue.size > 0, options.now);
    return started;
  }

  /**
   * Records a request's first token, which frees its part of the prompt window.
   */
  recordFirstToken(ticketId: string, now: MonotonicTime): void {
    const open = this.#openTickets.get(ticketId);
    if (open?.startedAt === undefined || open.awaitsFirstToken !== true) return;
    open.awaitsFirstToken = false;
    const { service, priority, promptTokens: tokens = 0 } = open.ticket;
    const delay = now - open.startedAt;
    const { window } = this.#getOrCreateService(service);
    window.recordFirstToken({ priority, tokens, delay, now });
  }

  /**
   * Removes and returns the queued tickets that can no longer meet their
   * deadline.
   */
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

  /** Releases a request that ended, failed or was cancelled by its caller. */
  finish(
    ticketId: string,
    options: {
      readonly now: MonotonicTime;
      readonly tokens: Tokens;
      /**
       * Whether its complete answer arrived; only then is its service time
       * counted.
       */
      readonly complete?: boolean;
    },
  ): void {
    const open = this.#openTickets.get(ticketId);
    if (open === undefined) return;
    const { ticket, startedAt } = open;
    if (open.awaitsFirstToken === true) {
      const { window } = this.#getOrCreateService(ticket.service);
      window.releaseTokens(ticket.promptTokens ?? 0);
    }
    if (startedAt === undefined) this.#removeQueued(ticket, options.now);
    else this.#recordFinish(ticket, { ...options, startedAt });
    this.#close(ticket, options);
  }

  /** Returns the queued and running requests of each service. */
  listLoads(): ServiceLoad[] {
    return [...this.#services].map(([service, state]) => ({
      service,
      queued: state.queue.size,
      running: state.running,
      drainRate: state.drain.compute(),
      unreadTokens: state.window.unreadTokens,
      promptWindow: state.window.getSize(Priority.Standard),
    }));
  }

  /** Returns the estimated time until a new ticket would start. */
  computeWait(ticket: Ticket): Millis {
    const state = this.#getOrCreateService(ticket.service);
    if (state.queue.size === 0) return 0;
    const workAhead = state.queue.computeWorkAhead(ticket);
    const rate = state.drain.compute();
    // Nothing has run yet, so there is no estimate.
    return rate === 0 ? 0 : workAhead / rate;
  }

  #admitCustomer(
    ticket: Ticket,
    now: MonotonicTime,
  ): Either<Refusal, void> {
    const usage = this.#usage.get(ticket.customer);
    if (usage === undefined) return Right(undefined);
    return usage.admit(ticket.tokens, now).mapLeft(createRateLimited);
  }

  #findDeadlineRefusal(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Refusal | undefined {
    const wait = this.computeWait(ticket);
    // A request that need not wait is admitted whatever its deadline: refusing it
    // would yield no new measurement of the target.
    if (wait === 0) return undefined;
    if (this.#canFinish(ticket, options.now + wait)) return undefined;
    return createDeadlineTooSoon(this.#computeRetryAfter(ticket, options));
  }

  #canFinish(ticket: Ticket, startAt: MonotonicTime): boolean {
    const serviceTime = this.#serviceTimes.find(ticket.service, ticket.kind) ??
      0;
    return startAt + SHORT_SERVICE_TIME_FACTOR * serviceTime <= ticket.deadline;
  }

  #computeRetryAfter(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): Millis {
    const longest = ticket.deadline - ticket.arrivedAt;
    const wait = Math.min(this.computeWait(ticket), longest);
    const jitter = 1 + RETRY_JITTER * options.random();
    return Math.ceil(Math.max(MIN_RETRY_AFTER, wait) * jitter);
  }

  #refuse(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly random: RandomSource },
  ): RefusedTicket {
    const retryAfter = this.#computeRetryAfter(ticket, options);
    this.#removeQueued(ticket, options.now);
    this.#close(ticket, { now: options.now, tokens: 0 });
    const late = !this.#canFinish(ticket, options.now);
    const refusal = late
      ? createDeadlineTooSoon(retryAfter)
      : createOverloaded(retryAfter);
    return { ticket, refusal };
  }

  #removeQueued(ticket: Ticket, now: MonotonicTime): void {
    const state = this.#getOrCreateService(ticket.service);
    state.queue.remove(ticket);
    state.drain.recordWaiting(state.queue.size > 0, now);
  }

  #recordStart(ticket: Ticket, now: MonotonicTime): void {
    const state = this.#getOrCreateService(ticket.service);
    const { id, promptTokens = 0 } = ticket;
    state.running++;
    state.drain.recordRunning(state.running, now);
    state.window.recordStart(promptTokens);
    this.#openTickets.set(id, {
      ticket,
      startedAt: now,
      awaitsFirstToken: promptTokens > 0,
    });
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
    const state = this.#getOrCreateService(service);
    state.running--;
    state.drain.recordRunning(state.running, options.now);
    if (options.complete !== true) return;
    const serviceTime = options.now - options.startedAt;
    this.#serviceTimes.record(service, kind, serviceTime);
  }

  #close(
    ticket: Ticket,
    options: { readonly now: MonotonicTime; readonly tokens: Tokens },
  ): void {
    const { id, customer, tokens } = ticket;
    this.#openTickets.delete(id);
    const usage = { expected: tokens, used: options.tokens };
    this.#usage.get(customer)?.settle(usage, options.now);
  }

  #getOrCreateService(service: ServiceId): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = {
      queue: new FairQueue((kind) => this.#serviceTimes.compute(service, kind)),
      drain: new DrainRate(),
      window: new PromptWindow(),
      running: 0,
    };
    this.#services.set(service, state);
    return state;
  }
}

function fitsPromptWindow(ticket: Ticket, window: PromptWindow): boolean {
  return (ticket.promptTokens ?? 0) === 0 || window.hasRoom(ticket.priority);
}

function createRateLimited(reached: LimitReached): Refusal {
  return createNotRunRefusal(
    RefusalKind.RateLimited,
    "You have sent as much as was agreed for this moment. Nothing was done. Please try again shortly.",
    { retryAfter: Math.ceil(reached.retryAfter) },
  );
}

function createDeadlineTooSoon(retryAfter: Millis): Refusal {
  return createNotRunRefusal(
    RefusalKind.DeadlineTooSoon,
    "We are busy and could not have answered in time. Nothing was done. Please try again a little later.",
    { retryAfter },
  );
}

function createOverloaded(retryAfter: Millis): Refusal {
  return createNotRunRefusal(
    RefusalKind.Overloaded,
    "We are very busy at the moment. Nothing was done. Please try again shortly.",
    { retryAfter },
  );
}
