/**
 * Event budgets on this VM. Requests reserve tokens against grants in memory;
 * grants are taken from and returned to the store, and tokens that the store
 * does not give are borrowed from peers.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Left, Right } from "purify-ts";
import {
  type AccountChange,
  Accounts,
  AccountSchedule,
  chooseRequestToBorrowFor,
  computeNextDue,
  computeReserved,
  createGrantExchange,
  type EventAccount,
  type ExchangeInput,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  listServable,
  listUnservable,
  planExchange,
  planLastExchange,
  receiveExchange,
  type Reservation,
  settleReservation,
} from "../../budget/mod.ts";
import {
  combineUndo,
  createNotRunRefusal,
  type EventConfig,
  type EventId,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type Tokens,
  type Undo,
} from "../../core/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import type { NodeContext } from "../node_context.ts";
import { type Waiter, WaitQueue } from "./wait_queue.ts";

/** Retry-after time of a request that its event's budget does not cover. */
const BUDGET_SPENT_RETRY_AFTER: Millis = 30_000;

/** Retry-after time of a request whose budget could not be checked. */
const UNREACHABLE_RETRY_AFTER: Millis = 2_000;

/** Maximum time that a request waits for tokens. */
const MAX_TOKEN_WAIT: Millis = 3_000;

/** Time without an answer from the store after which peers are asked too. */
const LOAN_DELAY: Millis = 250;

/** Pause between two attempts to borrow or to get a grant. */
const LOAN_INTERVAL: Millis = 50;

/** Maximum number of due accounts that are processed in one period. */
const MAX_DUE_ACCOUNTS = 1_000;

/**
 * Asks the next peers once to lend tokens that the store does not give, and
 * credits the account with the loans.
 */
export type LoanSource = (
  event: EventConfig,
  missing: Tokens,
) => Promise<{
  /** Number of peers that could be asked. */
  readonly eligiblePeers: number;
  /** Highest number of tokens reserved by requests in progress at one peer. */
  readonly reservedAtPeer: Tokens;
}>;

/** Reserves tokens for requests and settles them when the requests end. */
export class Escrow {
  readonly #context: NodeContext;
  readonly #accounts: Accounts;
  readonly #queues = new Map<EventId, WaitQueue>();
  readonly #schedule = new AccountSchedule();
  readonly #exchanges = new Set<Promise<void>>();
  #borrow: LoanSource = () =>
    Promise.resolve({ eligiblePeers: 0, reservedAtPeer: 0 });
  #exchangeNumber = 0;

  constructor(context: NodeContext) {
    this.#context = context;
    this.#accounts = new Accounts(context);
  }

  /** Sets the function that borrows tokens from peers. */
  setLoanSource(source: LoanSource): void {
    this.#borrow = source;
  }

  /** Registers the command and the state dump, and starts the periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.grantCheckMillis,
      random,
      run: () => this.#processDueAccounts(),
      reportError: createErrorReporter(log, "escrow"),
    });
    return combineUndo([
      this.#accounts.register(),
      kernel.registerDump("accounts", () => [...this.#accounts.list()]),
      periodic.stop,
    ]);
  }

  /** Returns the account of an event. */
  readAccount(eventId: EventId): EventAccount {
    return this.#accounts.read(eventId);
  }

  /** Changes an event's account, then serves waiting requests that now fit. */
  changeAccount(eventId: EventId, change: AccountChange): EventAccount {
    const account = this.#accounts.change(eventId, change);
    this.#serveWaiters(this.#queues.get(eventId));
    return account;
  }

  /** Returns the number of grants that this VM holds. */
  countGrants(): number {
    let count = 0;
    for (const account of this.#accounts.list()) {
      count += account.grants.length;
    }
    return count;
  }

  /** Returns the sum of the tokens that an event's waiting requests need. */
  readWaitingTokens(eventId: EventId): Tokens {
    const waiters = this.#queues.get(eventId)?.waiters ?? [];
    return waiters.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }

  /**
   * Returns the shortfall of an event's smallest waiting request while only
   * loans can serve it; undefined when no request waits for a loan.
   */
  readShortfall(eventId: EventId): Tokens | undefined {
    const queue = this.#queues.get(eventId);
    if (queue === undefined || !queue.isScarce) return undefined;
    const waiter = chooseRequestToBorrowFor(queue.waiters);
    if (waiter === undefined) return undefined;
    return waiter.tokens - this.#accounts.computeRoom(eventId);
  }

  /**
   * Reserves tokens, and gets a new grant or a loan first if needed. Resolves
   * with a refusal when the tokens cannot be had in time.
   */
  reserve(
    event: EventConfig,
    input: { readonly tokens: Tokens; readonly deadline: MonotonicTime },
  ): Promise<Either<Refusal, Reservation>> {
    const queue = this.#getOrCreateQueue(event);
    const { tokens } = input;
    if (tokens === 0) return Promise.resolve(Right(createEmpty(event.id)));
    // Waiting requests go first, unless only a loan can serve them.
    const mayTry = queue.waiters.length === 0 || queue.isScarce;
    const reserved = mayTry
      ? this.#accounts.reserve(event.id, tokens)
      : undefined;
    if (reserved !== undefined) {
      this.#scheduleNextExchange(queue);
      return Promise.resolve(Right(reserved));
    }
    const giveUpAt = Math.min(
      input.deadline,
      this.#context.clock.readMonotonic() + MAX_TOKEN_WAIT,
    );
    return new Promise((resolve) => {
      this.#addWaiter(queue, { tokens, giveUpAt, resolve });
    });
  }

  /**
   * Settles a reservation at the number of tokens used. Without that number,
   * all reserved tokens count as spent.
   */
  settle(reservation: Reservation, spent?: Tokens): void {
    const now = this.#context.clock.readMonotonic();
    const used = spent === undefined ? {} : { spent };
    this.changeAccount(
      reservation.eventId,
      (account) => settleReservation(account, { reservation, now, ...used }),
    );
    this.#context.metrics.tokensSpent.inc(spent ?? reservation.tokens);
    this.#scheduleNextExchange(this.#queues.get(reservation.eventId));
  }

  /** Returns all unreserved tokens to the store, for a planned stop. */
  async returnGrants(): Promise<void> {
    await Promise.all([...this.#exchanges]);
    for (const queue of this.#queues.values()) {
      this.#startExchange(queue, planLastExchange);
    }
    await Promise.all([...this.#exchanges]);
  }

  #getOrCreateQueue(event: EventConfig): WaitQueue {
    const known = this.#queues.get(event.id);
    if (known !== undefined) {
      known.event = event;
      return known;
    }
    const queue = new WaitQueue(event);
    this.#queues.set(event.id, queue);
    return queue;
  }

  #addWaiter(queue: WaitQueue, waiter: Waiter): void {
    queue.waiters.push(waiter);
    const wait = waiter.giveUpAt - this.#context.clock.readMonotonic();
    const timer = setTimeout(() => {
      this.#refuse(queue, { waiter, refusal: createUnreachableRefusal() });
    }, Math.max(0, wait));
    const { resolve } = waiter;
    waiter.resolve = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    this.#startExchange(queue, planExchange);
    if (queue.exchanging) this.#borrowLater(queue, waiter);
  }

  /** Borrows from peers if the store is slow and the request still waits. */
  #borrowLater(queue: WaitQueue, waiter: Waiter): void {
    setTimeout(() => {
      if (queue.waiters.includes(waiter)) void this.#borrowFor(queue);
    }, LOAN_DELAY);
  }

  #refuse(
    queue: WaitQueue,
    input: { readonly waiter: Waiter; readonly refusal: Refusal },
  ): void {
    const { waiter, refusal } = input;
    if (!queue.waiters.includes(waiter)) return;
    queue.waiters = queue.waiters.filter((each) => each !== waiter);
    waiter.resolve(Left(refusal));
    this.#serveWaiters(queue);
  }

  #serveWaiters(queue: WaitQueue | undefined): void {
    if (queue === undefined || queue.waiters.length === 0) return;
    const room = this.#accounts.computeRoom(queue.event.id);
    const { isScarce } = queue;
    for (const waiter of listServable(queue.waiters, { room, isScarce })) {
      const reserved = this.#accounts.reserve(queue.event.id, waiter.tokens);
      if (reserved === undefined) return;
      queue.waiters = queue.waiters.filter((each) => each !== waiter);
      waiter.resolve(Right(reserved));
    }
  }

  /**
   * Plans and sends a grant exchange for an event. Does nothing while another
   * exchange is in progress, or when there is nothing to exchange.
   */
  #startExchange(
    queue: WaitQueue,
    plan: (account: EventAccount, input: ExchangeInput) => EventAccount,
  ): void {
    if (queue.exchanging) return;
    const input = this.#createExchangeInput(queue);
    const account = this.#accounts.change(
      queue.event.id,
      (before) => plan(before, input),
    );
    if (account.exchange === undefined) return;
    queue.exchanging = true;
    const running = this.#runExchange(queue, account.exchange);
    this.#exchanges.add(running);
    void running.finally(() => this.#exchanges.delete(running));
  }

  #createExchangeInput(queue: WaitQueue): ExchangeInput {
    const { settings, incarnation, clock } = this.#context;
    const { event, budgetLeft } = queue;
    return {
      now: clock.readMonotonic(),
      wallTime: clock.readWall(),
      lean: event.lean,
      need: queue.computeNeed(),
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
      grantId: `${settings.vm}/${incarnation}/${++this.#exchangeNumber}`,
      holder: { vm: settings.vm, incarnation },
      initialLimit: event.budgetTokens,
    };
  }

  async #runExchange(
    queue: WaitQueue,
    exchange: GrantExchange,
  ): Promise<void> {
    const { writer, clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    // The store may apply the exchange at any later time, so it is never given
    // up before its result is known.
    const answer = await writer.run(createGrantExchange(exchange), {
      giveUpAt: Infinity,
    });
    queue.exchanging = false;
    answer.caseOf({
      Left: (error) => {
        log.error(LogEvent.StoreFailed, {
          event_id: exchange.eventId,
          reason: error.message,
        });
        this.#refuseAll(queue, createUnreachableRefusal());
      },
      Right: (result) =>
        this.#applyExchangeResult(queue, { exchange, result, askedAt }),
    });
  }

  #applyExchangeResult(
    queue: WaitQueue,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
      readonly askedAt: MonotonicTime;
    },
  ): void {
    const { exchange, result, askedAt } = input;
    const { metrics, log } = this.#context;
    queue.budgetLeft = result.budgetLeft;
    this.changeAccount(
      exchange.eventId,
      (account) =>
        receiveExchange(account, { result, deadline: askedAt + GRANT_TERM }),
    );
    log.info(LogEvent.GrantExchanged, {
      event_id: exchange.eventId,
      exchange: exchange.id,
      size: result.size,
      closed: exchange.closes?.length ?? 0,
      budget_left: result.budgetLeft,
    });
    if (result.size > 0) metrics.grantsTaken.inc();
    this.#scheduleNextExchange(queue);
    if (queue.waiters.length === 0) {
      queue.asksForFirstOnly = false;
      return;
    }
    queue.isBudgetShort = exchange.take !== undefined && result.size === 0;
    if (queue.isBudgetShort) return this.#handleShortage(queue);
    this.#startExchange(queue, planExchange);
  }

  /**
   * Handles a budget row that cannot cover the waiting requests: asks the store
   * for the first request alone, then borrows from peers, then refuses.
   */
  #handleShortage(queue: WaitQueue): void {
    if (!queue.asksForFirstOnly && queue.waiters.length > 1) {
      queue.asksForFirstOnly = true;
      return this.#startExchange(queue, planExchange);
    }
    void this.#borrowFor(queue).then(() => this.#endShortage(queue));
  }

  /**
   * Tries another exchange after a pause if requests still wait: they may be
   * served by tokens of a request that ends, here or at a peer.
   */
  async #endShortage(queue: WaitQueue): Promise<void> {
    queue.isBudgetShort = false;
    if (queue.waiters.length > 0) {
      await sleep(LOAN_INTERVAL);
      return this.#startExchange(queue, planExchange);
    }
    queue.asksForFirstOnly = false;
    queue.isScarce = false;
  }

  /** Borrows for an event, with one series of loans at a time. */
  #borrowFor(queue: WaitQueue): Promise<void> {
    queue.borrowing ??= this.#borrowUntilServed(queue)
      .finally(() => (queue.borrowing = undefined));
    return queue.borrowing;
  }

  /** Asks peers in turn until no request waits or no peer is left to ask. */
  async #borrowUntilServed(queue: WaitQueue): Promise<void> {
    queue.isScarce = true;
    let reservedAtPeer = 0;
    for (;;) {
      this.#serveWaiters(queue);
      const missing = this.readShortfall(queue.event.id);
      if (missing === undefined || missing <= 0) return;
      const step = await this.#borrow(queue.event, missing);
      reservedAtPeer = Math.max(reservedAtPeer, step.reservedAtPeer);
      this.#serveWaiters(queue);
      if (step.eligiblePeers === 0) break;
      await sleep(LOAN_INTERVAL);
    }
    if (queue.isBudgetShort) this.#refuseUnservable(queue, reservedAtPeer);
  }

  #refuseUnservable(queue: WaitQueue, reservedAtPeer: Tokens): void {
    const account = this.readAccount(queue.event.id);
    const unservable = listUnservable(queue.waiters, {
      room: this.#accounts.computeRoom(queue.event.id),
      reserved: computeReserved(account),
      reservedAtPeer,
      budgetLeft: queue.budgetLeft ?? 0,
    });
    for (const waiter of unservable) {
      this.#refuse(queue, { waiter, refusal: createSpentRefusal() });
    }
  }

  #refuseAll(queue: WaitQueue, refusal: Refusal): void {
    for (const waiter of [...queue.waiters]) {
      this.#refuse(queue, { waiter, refusal });
    }
  }

  #scheduleNextExchange(queue: WaitQueue | undefined): void {
    if (queue === undefined) return;
    const { event, budgetLeft } = queue;
    const due = computeNextDue(this.readAccount(event.id), {
      now: this.#context.clock.readMonotonic(),
      lean: event.lean,
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
    });
    this.#schedule.change(event.id, due);
  }

  #processDueAccounts(): Promise<void> {
    const now = this.#context.clock.readMonotonic();
    for (const eventId of this.#schedule.takeDue(now, MAX_DUE_ACCOUNTS)) {
      const queue = this.#queues.get(eventId);
      if (queue === undefined) continue;
      this.#startExchange(queue, planExchange);
      if (!queue.exchanging) this.#scheduleNextExchange(queue);
    }
    return Promise.resolve();
  }
}

/** Returns a reservation of no tokens; settling it changes nothing. */
function createEmpty(eventId: EventId): Reservation {
  return { eventId, tokens: 0, parts: [] };
}

function createSpentRefusal(): Refusal {
  return createNotRunRefusal(
    RefusalKind.BudgetSpent,
    "The budget of this event does not cover this request any more. Nothing was done. Please ask the person who looks after the event to add to it.",
    { retryAfter: BUDGET_SPENT_RETRY_AFTER },
  );
}

function createUnreachableRefusal(): Refusal {
  return createNotRunRefusal(
    RefusalKind.BudgetUnreachable,
    "We could not check the budget of this event just now. Nothing was done. Please try again in a moment.",
    { retryAfter: UNREACHABLE_RETRY_AFTER },
  );
}
