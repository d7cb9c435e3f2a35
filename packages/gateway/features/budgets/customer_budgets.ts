/**
 * Prepaid budgets of customers on this VM: reservations in memory against
 * grants from the table, sized to carry the VM through a time without it, and
 * loans from other VMs for what is short.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Left, Right } from "purify-ts";
import {
  type AccountChange,
  Accounts,
  chooseRequestToBorrowFor,
  computeReserved,
  type EventAccount,
  type ExchangeInput,
  listServable,
  planExchange,
  type Reservation,
  settleReservation,
  SpendingMeter,
  sumStandbySizes,
} from "../../../budget/mod.ts";
import {
  combineUndo,
  type CustomerId,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type Tokens,
  type Undo,
  type VmId,
} from "../../../core/mod.ts";
import { StoreWriter } from "../../../ports/mod.ts";
import type {
  GatewayConfiguration,
  RoutedCustomer,
} from "../../../routes/mod.ts";
import {
  createErrorReporter,
  createRefusal,
  LogEvent,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { GrantExchanges } from "./grant_exchanges.ts";
import {
  computeOutage,
  createHolding,
  type Holding,
  isLimitRaised,
  sumOpen,
  sumWaiting,
  type Waiter,
} from "./holding.ts";
import { computePresenceInterval, PresenceKeeper } from "./presence_keeper.ts";
import { listInUse, StandbyTokens } from "./standby_tokens.ts";
import { type LoanAccounts, TokenLoans } from "./token_loans.ts";

/** Pause between two looks at all holdings; refills of customers go together. */
const VISIT_INTERVAL: Millis = 400;

/** Longest wait for tokens within a request; one exchange and a conflict. */
const MAX_TOKEN_WAIT: Millis = 800;

/** Time without an answer of the table after which peers are asked too. */
const LOAN_DELAY: Millis = 150;

/** Longest time that a borrower waits until this VM has asked the table. */
const LEND_WAIT: Millis = 200;

/** Pause between two steps of borrowing. */
const LOAN_INTERVAL: Millis = 10;

/** Weight of the newest request in the usual size. */
const USUAL_WEIGHT = 1 / 32;

/** Longest pause between tries: tokens run out while the table is away. */
const LONGEST_BACKOFF: Millis = 250;

/** Time after which tokens that others hold may have come back. */
const HELD_RETRY_AFTER: Millis = 1_000;

/** Customers whose first holding is taken before their first request. */
const MOST_PREFETCHED = 200;

/** Reserves and settles tokens of customers. */
export class CustomerBudgets implements LoanAccounts {
  readonly #context: GatewayContext;
  readonly #accounts: Accounts;
  readonly #presence: PresenceKeeper;
  readonly #standby: StandbyTokens;
  readonly #exchanges: GrantExchanges;
  /** Loans from and to other VMs. */
  readonly loans: TokenLoans;
  readonly #holdings = new Map<CustomerId, Holding>();
  /** Smoothed over the requests of all customers. */
  #usualRequest: Tokens = 0;
  #firstDraw: MonotonicTime | undefined;
  /** Largest number of VMs that were seen to hold tokens of one customer. */
  #mostHolders = 1;
  #vmCount = 1;
  #listenVms: (count: number) => void = () => {};

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#accounts = new Accounts(context);
    this.loans = new TokenLoans(context, this);
    this.#presence = new PresenceKeeper(context, {
      listInUse: () => [...this.#holdings.values()].flatMap(listInUse),
      onConfirmed: (inUse) => {
        this.#exchanges.recordAnswer();
        for (const holding of this.#holdings.values()) {
          this.#standby.openWhole(holding, inUse);
        }
      },
      computeInterval: () => this.#computePresenceInterval(),
    });
    this.#standby = new StandbyTokens(context, {
      accounts: this.#accounts,
      computeSilence: () => this.#presence.computeSilence(),
      isTableAway: () => this.#exchanges.isTableAway,
    });
    this.#exchanges = new GrantExchanges(context, {
      accounts: this.#accounts,
      standby: this.#standby,
      computePresenceInterval: () => this.#computePresenceInterval(),
      countVms: () => this.countVms(),
      isHome: (holding) => this.loans.isHome(holding.customer),
      readUsualRequest: () => this.#usualRequest,
      readFirstDraw: () => this.#firstDraw,
      onAnswer: (holding) => this.#takeAnswer(holding),
    });
  }

  /** Registers the command, the dump and the periodic refills. */
  register(): Undo {
    const { kernel, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: VISIT_INTERVAL,
      random,
      run: () => {
        this.#countHolders();
        this.#exchanges.visit(this.#holdings.values());
        return Promise.resolve();
      },
      reportError: createErrorReporter(log, "budgets"),
    });
    return combineUndo([
      this.#accounts.register(),
      kernel.registerDump("budgets", () => this.#describe()),
      this.#presence.register(),
      this.loans.register(),
      periodic.stop,
    ]);
  }

  /** Calls a function with the number of VMs that hold tokens, as it changes. */
  setVmCountListener(listener: (count: number) => void): void {
    this.#listenVms = listener;
  }

  /** Takes over the limits of a configuration. */
  applyConfiguration(configuration: GatewayConfiguration): void {
    const isPrefetched = configuration.customers.length <= MOST_PREFETCHED;
    for (const customer of configuration.customers) {
      if (customer.prepaid === undefined) continue;
      const holding = this.#holdings.get(customer.id);
      if (holding !== undefined) {
        holding.prepaid = Math.max(holding.prepaid, customer.prepaid);
      } else if (isPrefetched) this.#readHolding(customer);
    }
    this.#exchanges.visit(this.#holdings.values());
  }

  /** Reserves the most that a request can use. */
  reserve(
    customer: RoutedCustomer,
    input: {
      /** Names the request in logs. */
      readonly requestId: string;
      readonly tokens: Tokens;
      readonly deadline: MonotonicTime;
    },
  ): Promise<Either<Refusal, Reservation>> {
    const holding = this.#readHolding(customer);
    const { tokens, requestId } = input;
    const now = this.#context.clock.readMonotonic();
    holding.meter ??= new SpendingMeter(now);
    this.#firstDraw ??= now;
    this.#usualRequest += (tokens - this.#usualRequest) * USUAL_WEIGHT;
    // Those who wait go first, unless only a loan can help them.
    const mayTry = holding.waiters.length === 0 ||
      holding.borrowing !== undefined;
    const reserved = mayTry ? this.#tryAny(holding, tokens) : undefined;
    if (reserved !== undefined) return Promise.resolve(Right(reserved));
    if (this.#isSpent(holding, tokens)) {
      const refusal = this.#createShort(holding, { tokens, requestId });
      return Promise.resolve(Left(refusal));
    }
    const deadline = Math.min(input.deadline, now + MAX_TOKEN_WAIT);
    return new Promise((resolve) => {
      this.#addWaiter(holding, { requestId, tokens, deadline, resolve });
    });
  }

  /** Settles a reservation at the tokens that were used. */
  settle(reservation: Reservation, used: Tokens): void {
    const now = this.#context.clock.readMonotonic();
    const spent = Math.min(used, reservation.tokens);
    const customer = reservation.eventId;
    this.#accounts.change(
      customer,
      (account) => settleReservation(account, { reservation, spent, now }),
    );
    this.#context.metrics.tokensSpent.inc(spent);
    const holding = this.#holdings.get(customer);
    if (holding === undefined) return;
    // The rate was counted at the reservation, so that a wave shows at once.
    holding.meter?.record(spent - reservation.tokens, now);
    this.#serveWaiters(holding);
  }

  /** Returns every unreserved token to the table, for a planned stop. */
  returnAll(): Promise<void> {
    return this.#exchanges.returnAll([...this.#holdings.values()]);
  }

  /** Gives up on what is on its way to the table; nothing is asked after it. */
  close(): void {
    this.#exchanges.stop();
    for (const { writer } of this.#holdings.values()) writer.close();
  }

  /** Returns the account of a customer. */
  readAccount(customer: CustomerId): EventAccount {
    return this.#accounts.read(customer);
  }

  /** Changes a customer's account and serves the requests that wait for it. */
  changeAccount(customer: CustomerId, change: AccountChange): EventAccount {
    const account = this.#accounts.change(customer, change);
    const holding = this.#holdings.get(customer);
    if (holding !== undefined) this.#serveWaiters(holding);
    return account;
  }

  /** Returns the tokens that waiting requests of a customer need. */
  readWaitingTokens(customer: CustomerId): Tokens {
    const holding = this.#holdings.get(customer);
    return holding === undefined ? 0 : sumWaiting(holding);
  }

  /** Returns the other VMs that hold a customer's tokens, by its row. */
  listHolders(customer: CustomerId): readonly VmId[] {
    return this.#holdings.get(customer)?.otherHolders ?? [];
  }

  /** Returns what the smallest request lacks that only a loan can serve. */
  readShortage(customer: CustomerId): Tokens | undefined {
    const holding = this.#holdings.get(customer);
    if (holding?.borrowing === undefined) return undefined;
    const waiter = chooseRequestToBorrowFor(holding.waiters);
    if (waiter === undefined) return undefined;
    return waiter.tokens - this.#accounts.computeRoom(customer);
  }

  /**
   * Opens standby tokens, if they may be used, for a loan that needs them; else
   * gives them back to the table, which the borrower reaches if this VM does.
   */
  async prepareToLend(customer: CustomerId, tokens: Tokens): Promise<Tokens> {
    const holding = this.#holdings.get(customer);
    if (holding === undefined) return 0;
    if (this.#accounts.computeRoom(customer) >= tokens) return 0;
    if (this.#exchanges.isTableAway) {
      this.#standby.open(holding);
      return 0;
    }
    if (this.#mayTableHelp(holding, tokens)) {
      await this.#fillUp(holding, tokens);
      return 0;
    }
    const returning = sumStandbySizes(holding.standby);
    if (returning > 0) this.#exchanges.start(holding, planStandbyReturn);
    return returning;
  }

  /** Counts tokens that were lent as drawn here. */
  recordLent(customer: CustomerId, tokens: Tokens): void {
    const holding = this.#holdings.get(customer);
    if (holding === undefined || tokens === 0) return;
    const now = this.#context.clock.readMonotonic();
    holding.meter ??= new SpendingMeter(now);
    holding.meter.record(tokens, now);
  }

  /** Returns the number of VMs that share the table, as far as known. */
  countVms(): number {
    return Math.max(this.loans.countVms(), this.#mostHolders);
  }

  /** Counts anew, since VMs also go; each request would be too often. */
  #countHolders(): void {
    this.#mostHolders = 1;
    for (const { holders } of this.#holdings.values()) {
      this.#mostHolders = Math.max(this.#mostHolders, holders);
    }
  }

  #readHolding(customer: RoutedCustomer): Holding {
    const known = this.#holdings.get(customer.id);
    if (known !== undefined) return known;
    const holding = createHolding({
      customer: customer.id,
      prepaid: customer.prepaid ?? 0,
      writer: this.#createWriter(),
    });
    this.#holdings.set(customer.id, holding);
    void this.#presence.findEarlierLife()
      .then((earlier) => this.#exchanges.endEarlierLives(holding, earlier));
    return holding;
  }

  /** Takes from the table what a borrower waits for, if that is quick. */
  async #fillUp(holding: Holding, tokens: Tokens): Promise<void> {
    holding.borrowersNeed += tokens;
    const answered = new Promise<void>((resolve) => {
      holding.answerListeners.push(resolve);
    });
    this.#exchanges.start(holding, planExchange);
    await Promise.race([answered, sleep(LEND_WAIT)]);
    holding.borrowersNeed -= tokens;
  }

  #createWriter(): StoreWriter {
    const { dialect, clock, random } = this.#context;
    return new StoreWriter({
      table: dialect.table,
      clock,
      random,
      groupDelay: 0,
      maxBackoff: LONGEST_BACKOFF,
    });
  }

  #tryReserve(holding: Holding, tokens: Tokens): Reservation | undefined {
    const reserved = this.#accounts.reserve(holding.customer, tokens);
    if (reserved === undefined) return undefined;
    holding.meter?.record(tokens, this.#context.clock.readMonotonic());
    return reserved;
  }

  /** Reserves from what may be used, or from standby tokens if need be. */
  #tryAny(holding: Holding, tokens: Tokens): Reservation | undefined {
    const reserved = this.#tryReserve(holding, tokens);
    if (reserved !== undefined || !this.#standby.open(holding)) return reserved;
    return this.#tryReserve(holding, tokens);
  }

  /**
   * Whether not even all tokens that other VMs may hold unspent would cover a
   * request. What this life has spent and what is closed can't come back.
   */
  #isSpent(holding: Holding, tokens: Tokens): boolean {
    if (holding.budgetLeft === undefined) return false;
    if (isLimitRaised(holding)) return false;
    // Borrowed tokens are a part of their lender's grant.
    const open = this.#accounts.read(holding.customer).grants
      .filter((grant) => grant.lenderGrantId === undefined)
      .reduce((sum, grant) => sum + grant.spent, 0);
    return holding.rowLimit - holding.closed - open < tokens;
  }

  #createShort(
    holding: Holding,
    input: {
      readonly tokens: Tokens;
      readonly requestId: string;
      /** Whether no VM has enough, so that coming back has no use. */
      readonly isOver?: boolean;
    },
  ): Refusal {
    const { tokens, requestId } = input;
    const isSpent = input.isOver === true || this.#isSpent(holding, tokens);
    const account = this.#accounts.read(holding.customer);
    this.#context.log.warn(LogEvent.BudgetShort, {
      request: requestId,
      customer: holding.customer,
      tokens,
      room: this.#accounts.computeRoom(holding.customer),
      reserved: computeReserved(account),
      budget_left: holding.budgetLeft,
      closed: holding.closed,
      limit: holding.rowLimit,
      all_heard: input.isOver === true,
      spent: isSpent,
    });
    return isSpent
      ? createRefusal(RefusalKind.BudgetSpent)
      : createRefusal(RefusalKind.BudgetUnreachable, {
        retryAfter: this.#computeReturnTime(holding, tokens),
      });
  }

  /** Returns when coming back is likely to help. */
  #computeReturnTime(holding: Holding, tokens: Tokens): Millis {
    const outage = this.#computeOutage(holding);
    const opening = outage > 0
      ? this.#standby.computeReturnTime(holding, tokens)
      : undefined;
    // An outage that has lasted so long is likely to last about as long.
    return opening ?? Math.round(Math.max(HELD_RETRY_AFTER, outage));
  }

  /** Whether the table doesn't answer, at all or about one customer. */
  #isTableSilent(holding: Holding): boolean {
    return this.#exchanges.isTableAway || this.#computeOutage(holding) > 0;
  }

  #computeOutage(holding: Holding): Millis {
    return computeOutage(holding, this.#context.clock.readMonotonic());
  }

  #addWaiter(holding: Holding, waiter: Waiter): void {
    const wait = waiter.deadline - this.#context.clock.readMonotonic();
    const waiting: Waiter = {
      ...waiter,
      resolve: (result) => {
        clearTimeout(timer);
        waiter.resolve(result);
      },
    };
    const timer = setTimeout(
      () => this.#refuse(holding, waiting),
      Math.max(0, wait),
    );
    holding.waiters.push(waiting);
    if (!this.loans.isHome(holding.customer)) return this.#borrow(holding);
    this.#exchanges.start(holding, planExchange);
    if (!this.#mayTableHelp(holding, waiting.tokens)) {
      return this.#borrow(holding);
    }
    setTimeout(() => {
      if (holding.waiters.includes(waiting)) this.#borrow(holding);
    }, LOAN_DELAY);
  }

  /** Whether the table answers and has enough for a request, as far as known. */
  #mayTableHelp(holding: Holding, tokens: Tokens): boolean {
    if (this.#isTableSilent(holding)) return false;
    if (isLimitRaised(holding)) return true;
    if (holding.budgetLeft === undefined) return true;
    const room = this.#accounts.computeRoom(holding.customer);
    // A VM that is in touch gives its standby tokens back to take them.
    const most = room + holding.budgetLeft + sumStandbySizes(holding.standby);
    return most >= tokens;
  }

  /** One round of loans at a time for each customer. */
  #borrow(holding: Holding): void {
    if (holding.borrowing !== undefined) return;
    const report = createErrorReporter(this.#context.log, "loans");
    holding.borrowing = this.#borrowUntilServed(holding)
      .catch(report)
      .finally(() => (holding.borrowing = undefined));
  }

  /** Asks peers in turn until nobody waits or nobody is left to ask. */
  async #borrowUntilServed(holding: Holding): Promise<void> {
    // The round is on record before it looks for what is short.
    await Promise.resolve();
    // Each peer is asked once in a round, so that nobody waits for a second no.
    const since = this.#context.clock.readMonotonic();
    let returning = 0;
    for (;;) {
      this.#serveWaiters(holding);
      const missing = this.readShortage(holding.customer);
      if (missing === undefined || missing <= 0) return;
      const step = await this.loans.borrow(holding.customer, {
        missing,
        since,
      });
      returning += step.returning;
      if (step.askedPeers > 0) {
        await sleep(LOAN_INTERVAL);
        continue;
      }
      // Where homes can't help, the table is asked after all.
      const mayHelp = (waiter: Waiter) =>
        this.#mayTableHelp(holding, waiter.tokens);
      if (holding.waiters.some(mayHelp)) {
        this.#exchanges.start(holding, planExchange);
      }
      const hasHeardAll = this.loans.hasHeardAll(holding.customer, step);
      return this.#refuseShort(holding, hasHeardAll && returning === 0);
    }
  }

  /**
   * Refuses whoever neither the table nor peers can help. If all VMs were heard,
   * nobody has what they need: what is in progress counts at its most.
   */
  #refuseShort(holding: Holding, isAllHeard: boolean): void {
    const isSilent = this.#isTableSilent(holding);
    // What is on its way back to the table is not in any figure yet.
    if (holding.exchanging && !isSilent) return;
    const isOver = isAllHeard && !isSilent;
    for (const waiter of [...holding.waiters]) {
      if (this.#mayTableHelp(holding, waiter.tokens)) continue;
      this.#refuse(holding, waiter, isOver);
    }
  }

  #refuse(holding: Holding, waiter: Waiter, isOver = false): void {
    if (!holding.waiters.includes(waiter)) return;
    holding.waiters = holding.waiters.filter((each) => each !== waiter);
    waiter.resolve(Left(this.#createShort(holding, { ...waiter, isOver })));
  }

  #serveWaiters(holding: Holding): void {
    if (holding.waiters.length === 0) return;
    const servable = listServable(holding.waiters, {
      room: this.#accounts.computeRoom(holding.customer),
      isScarce: holding.borrowing !== undefined,
    });
    for (const waiter of servable) {
      const reserved = this.#tryReserve(holding, waiter.tokens);
      if (reserved === undefined) return;
      holding.waiters = holding.waiters.filter((each) => each !== waiter);
      waiter.resolve(Right(reserved));
    }
  }

  #computePresenceInterval(): Millis {
    const { writesPerSecond } = this.#context.settings.store;
    return computePresenceInterval({
      vms: this.countVms(),
      writesPerSecond,
    });
  }

  /** Serves who waits, and asks other VMs for what the answer does not cover. */
  #takeAnswer(holding: Holding): void {
    for (const listener of holding.answerListeners.splice(0)) listener();
    this.#mostHolders = Math.max(this.#mostHolders, holding.holders);
    const count = this.countVms();
    if (count !== this.#vmCount) {
      this.#vmCount = count;
      this.#listenVms(count);
    }
    this.#serveWaiters(holding);
    const mayHelp = (waiter: Waiter) =>
      this.#mayTableHelp(holding, waiter.tokens);
    if (!holding.waiters.every(mayHelp)) this.#borrow(holding);
    if (holding.waiters.some(mayHelp)) {
      this.#exchanges.start(holding, planExchange);
    }
  }

  #describe(): unknown {
    const now = this.#context.clock.readMonotonic();
    return [...this.#holdings.values()].map((each) => {
      const account = this.#accounts.read(each.customer);
      return {
        customer: each.customer,
        prepaid: each.prepaid,
        rowLimit: each.rowLimit,
        budgetLeft: each.budgetLeft,
        closed: each.closed,
        holders: each.holders,
        rate: Math.round(each.meter?.computeRate(now) ?? 0),
        room: this.#accounts.computeRoom(each.customer),
        reserved: computeReserved(account),
        standby: sumStandbySizes(each.standby),
        opening: sumOpen(each.opening),
        waiting: each.waiters.length,
      };
    });
  }
}

/** Gives every standby grant back. */
function planStandbyReturn(
  account: EventAccount,
  input: ExchangeInput,
): EventAccount {
  const drops = input.heldStandby ?? [];
  const plan = () => ({
    close: [],
    giveBack: [],
    standby: { drops, take: 0 },
  });
  return planExchange(account, { ...input, plan });
}
