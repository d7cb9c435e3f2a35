/**
 * Budgets on this VM: reservations against grants in memory, and the grants'
 * traffic with the table and with peers.
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

const BUDGET_SPENT_RETRY_AFTER: Millis = 30_000;
const UNREACHABLE_RETRY_AFTER: Millis = 2_000;

/** Longest wait for tokens within a request. */
const MAX_TOKEN_WAIT: Millis = 3_000;

/** Time without an answer of the table after which peers are asked too. */
const LOAN_DELAY: Millis = 250;

/** Pause between two steps of borrowing. */
const LOAN_INTERVAL: Millis = 50;

/** Due accounts looked at in one turn. */
const MAX_DUE_ACCOUNTS = 1_000;

/**
 * Asks the next peers once for tokens that the table does not give; the account
 * is credited with what they lend.
 */
export type LoanSource = (
  event: EventConfig,
  missing: Tokens,
) => Promise<{
  /** Peers that could be asked. */
  readonly eligiblePeers: number;
  /** Most tokens that requests in progress at one peer hold. */
  readonly reservedAtPeer: Tokens;
}>;

/** Reserves and settles tokens. */
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

  /** Sets where loans come from. */
  setLoanSource(source: LoanSource): void {
    this.#borrow = source;
  }

  /** Registers the feature's command, dump and periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.grantCheckMillis,
      random,
      run: () => this.#visitDueAccounts(),
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

  /** Changes an event's account and serves the requests that wait for it. */
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

  /** Returns the tokens that this VM's waiting requests of an event need. */
  readWaitingTokens(eventId: EventId): Tokens {
    const waiters = this.#queues.get(eventId)?.waiters ?? [];
    return waiters.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }

  /**
   * Returns what the smallest waiting request of an event lacks while nothing
   * but loans can serve it; undefined when nothing waits for a loan.
   */
  readShortfall(eventId: EventId): Tokens | undefined {
    const queue = this.#queues.get(eventId);
    if (queue === undefined || !queue.isScarce) return undefined;
    const waiter = chooseRequestToBorrowFor(queue.waiters);
    if (waiter === undefined) return undefined;
    return waiter.tokens - this.#accounts.computeRoom(eventId);
  }

  /** Reserves tokens, with a new grant or a loan if need be. */
  reserve(
    event: EventConfig,
    input: { readonly tokens: Tokens; readonly deadline: MonotonicTime },
  ): Promise<Either<Refusal, Reservation>> {
    const queue = this.#readQueue(event);
    const { tokens } = input;
    if (tokens === 0) return Promise.resolve(Right(createEmpty(event.id)));
    // Those who wait go first, unless only a loan can help them.
    const mayTry = queue.waiters.length === 0 || queue.isScarce;
    const reserved = mayTry
      ? this.#accounts.reserve(event.id, tokens)
      : undefined;
    if (reserved !== undefined) {
      this.#scheduleVisit(queue);
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
   * Settles a reservation at the tokens that were really used; when that is not
   * known, all of them count as spent.
   */
  settle(reservation: Reservation, spent?: Tokens): void {
    const now = this.#context.clock.readMonotonic();
    const used = spent === undefined ? {} : { spent };
    this.changeAccount(
      reservation.eventId,
      (account) => settleReservation(account, { reservation, now, ...used }),
    );
    this.#context.metrics.tokensSpent.inc(spent ?? reservation.tokens);
    this.#scheduleVisit(this.#queues.get(reservation.eventId));
  }

  /** Returns every unreserved token to the table, for a planned stop. */
  async returnGrants(): Promise<void> {
    await Promise.all([...this.#exchanges]);
    for (const queue of this.#queues.values()) {
      this.#startExchange(queue, planLastExchange);
    }
    await Promise.all([...this.#exchanges]);
  }

  #readQueue(event: EventConfig): WaitQueue {
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

  /** While the table is slow, whoever waits is helped by peers. */
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

  /** Sends one exchange for an event; nothing when one is under way. */
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
    // The table may apply it after any time, so it is never abandoned.
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
      Right: (result) => this.#receive(queue, { exchange, result, askedAt }),
    });
  }

  #receive(
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
    this.#scheduleVisit(queue);
    if (queue.waiters.length === 0) {
      queue.narrowed = false;
      return;
    }
    queue.isShort = exchange.take !== undefined && result.size === 0;
    if (queue.isShort) return this.#handleShortage(queue);
    this.#startExchange(queue, planExchange);
  }

  /** The table cannot cover what waits: narrow down, borrow, then refuse. */
  #handleShortage(queue: WaitQueue): void {
    if (!queue.narrowed && queue.waiters.length > 1) {
      queue.narrowed = true;
      return this.#startExchange(queue, planExchange);
    }
    void this.#borrowFor(queue).then(() => this.#endShortage(queue));
  }

  /** What still waits may be served by a request that ends, here or at a peer. */
  async #endShortage(queue: WaitQueue): Promise<void> {
    queue.isShort = false;
    if (queue.waiters.length > 0) {
      await sleep(LOAN_INTERVAL);
      return this.#startExchange(queue, planExchange);
    }
    queue.narrowed = false;
    queue.isScarce = false;
  }

  /** One series of loans at a time for each event. */
  #borrowFor(queue: WaitQueue): Promise<void> {
    queue.borrowing ??= this.#borrowUntilServed(queue)
      .finally(() => (queue.borrowing = undefined));
    return queue.borrowing;
  }

  /** Asks peers in turn until nobody waits or nobody is left to ask. */
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
    if (queue.isShort) this.#refuseHopeless(queue, reservedAtPeer);
  }

  #refuseHopeless(queue: WaitQueue, reservedAtPeer: Tokens): void {
    const account = this.readAccount(queue.event.id);
    const hopeless = listUnservable(queue.waiters, {
      room: this.#accounts.computeRoom(queue.event.id),
      reserved: computeReserved(account),
      reservedAtPeer,
      budgetLeft: queue.budgetLeft ?? 0,
    });
    for (const waiter of hopeless) {
      this.#refuse(queue, { waiter, refusal: createSpentRefusal() });
    }
  }

  #refuseAll(queue: WaitQueue, refusal: Refusal): void {
    for (const waiter of [...queue.waiters]) {
      this.#refuse(queue, { waiter, refusal });
    }
  }

  #scheduleVisit(queue: WaitQueue | undefined): void {
    if (queue === undefined) return;
    const { event, budgetLeft } = queue;
    const due = computeNextDue(this.readAccount(event.id), {
      now: this.#context.clock.readMonotonic(),
      lean: event.lean,
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
    });
    this.#schedule.change(event.id, due);
  }

  #visitDueAccounts(): Promise<void> {
    const now = this.#context.clock.readMonotonic();
    for (const eventId of this.#schedule.takeDue(now, MAX_DUE_ACCOUNTS)) {
      const queue = this.#queues.get(eventId);
      if (queue === undefined) continue;
      this.#startExchange(queue, planExchange);
      if (!queue.exchanging) this.#scheduleVisit(queue);
    }
    return Promise.resolve();
  }
}

/** Holds nothing; settling it changes nothing. */
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
