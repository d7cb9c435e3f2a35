/**
 * Prepaid budgets of customers on this VM. Requests reserve tokens in memory
 * from grants that the VM takes from the store; the grants are sized to last
 * through an outage of the store. Missing tokens are borrowed from other VMs.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Left, Right } from "purify-ts";
import {
  type AccountChange,
  Accounts,
  chooseBorrower,
  computeReserved,
  DrawMeter,
  type EventAccount,
  type ExchangeInput,
  listServable,
  planExchange,
  type Reservation,
  settleReservation,
  sumSizes,
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
  RouteConfiguration,
  RoutedCustomer,
} from "../../../routes/mod.ts";
import {
  createFailureReport,
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

/** Interval between two checks of all budgets, which batches their refills. */
const VISIT_INTERVAL: Millis = 400;

/** Longest wait for tokens in a request; covers an exchange with a conflict. */
const MAX_TOKEN_WAIT: Millis = 800;

/** Wait for the store's answer after which peers are asked for a loan too. */
const LOAN_DELAY: Millis = 150;

/** Longest time that a borrower waits while this VM takes tokens for it. */
const LEND_WAIT: Millis = 200;

/** Pause between two steps of one round of loans. */
const LOAN_INTERVAL: Millis = 10;

/** Weight of the newest request in the moving average of request sizes. */
const USUAL_WEIGHT = 1 / 32;

/**
 * Longest pause between two attempts to reach the store; short, since tokens
 * run out during an outage.
 */
const LONGEST_BACKOFF: Millis = 250;

/** Least retry delay for a caller, in which other VMs may return tokens. */
const HELD_RETRY_AFTER: Millis = 1_000;

/**
 * Largest number of customers in a configuration for which budgets are set up
 * before the first request; with more, each is set up at its first request.
 */
const MOST_PREFETCHED = 200;

/** Reserves and settles the tokens of customers' requests. */
export class CustomerBudgets implements LoanAccounts {
  readonly #context: GatewayContext;
  readonly #accounts: Accounts;
  readonly #presence: PresenceKeeper;
  readonly #standby: StandbyTokens;
  readonly #exchanges: GrantExchanges;
  /** Loans from and to other VMs. */
  readonly loans: TokenLoans;
  readonly #holdings = new Map<CustomerId, Holding>();
  /** Moving average of the tokens reserved per request, over all customers. */
  #usualRequest: Tokens = 0;
  #firstDraw: MonotonicTime | undefined;
  /** Largest number of VMs that hold tokens of one customer, as last known. */
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

  /** Registers the accounts, the dump, the periodic tasks and the peers. */
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
      reportError: createFailureReport(log, "budgets"),
    });
    return combineUndo([
      this.#accounts.register(),
      kernel.registerDump("budgets", () => this.#describe()),
      this.#presence.register(),
      this.loans.register(),
      periodic.stop,
    ]);
  }

  /**
   * Sets the function that is called with each change of {@link countVms}; it
   * replaces the one before.
   */
  listenVmCount(listener: (count: number) => void): void {
    this.#listenVms = listener;
  }

  /** Applies the budget limits of a configuration; limits are never lowered. */
  applyConfiguration(configuration: RouteConfiguration): void {
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

  /**
   * Reserves the most tokens that a request can use. Waits for the store and
   * for loans if this VM lacks them; resolves with a refusal if that fails.
   */
  reserve(
    customer: RoutedCustomer,
    input: {
      /** Identifies the request in logs. */
      readonly requestId: string;
      readonly tokens: Tokens;
      readonly deadline: MonotonicTime;
    },
  ): Promise<Either<Refusal, Reservation>> {
    const holding = this.#readHolding(customer);
    const { tokens, requestId } = input;
    const now = this.#context.clock.readMonotonic();
    holding.meter ??= new DrawMeter(now);
    this.#firstDraw ??= now;
    this.#usualRequest += (tokens - this.#usualRequest) * USUAL_WEIGHT;
    // Waiting requests go first, unless a round of loans is serving them.
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

  /** Settles a reservation with the tokens that its request has used. */
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
    // The whole reservation was counted when it was made, so that a burst
    // raises the rate at once; the unused tokens are deducted here.
    holding.meter?.record(spent - reservation.tokens, now);
    this.#serveWaiters(holding);
  }

  /** Returns every unreserved token to the store, for a planned stop. */
  returnAll(): Promise<void> {
    return this.#exchanges.returnAll([...this.#holdings.values()]);
  }

  /** Abandons exchanges in progress and starts no refills any more. */
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

  /** Returns the total tokens that waiting requests of a customer need. */
  readWaitingTokens(customer: CustomerId): Tokens {
    const holding = this.#holdings.get(customer);
    return holding === undefined ? 0 : sumWaiting(holding);
  }

  /** Returns the other VMs that hold a customer's tokens, by the budget row. */
  listHolders(customer: CustomerId): readonly VmId[] {
    return this.#holdings.get(customer)?.otherHolders ?? [];
  }

  /**
   * Returns the tokens that the smallest waiting request lacks; undefined if no
   * request waits or no round of loans is in progress.
   */
  readShortage(customer: CustomerId): Tokens | undefined {
    const holding = this.#holdings.get(customer);
    if (holding?.borrowing === undefined) return undefined;
    const waiter = chooseBorrower(holding.waiters);
    if (waiter === undefined) return undefined;
    return waiter.tokens - this.#accounts.computeRoom(customer);
  }

  /**
   * Tries to make tokens available for a loan. In an outage of the store it
   * unlocks standby tokens. Otherwise it takes tokens from the store or, if
   * too few are left there, returns the standby tokens to it: where this VM
   * reaches the store, the borrower does too. Returns the number of tokens so
   * returned.
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
    const returning = sumSizes(holding.standby);
    if (returning > 0) this.#exchanges.start(holding, planStandbyReturn);
    return returning;
  }

  /** Counts lent tokens as spending by this VM. */
  recordLent(customer: CustomerId, tokens: Tokens): void {
    const holding = this.#holdings.get(customer);
    if (holding === undefined || tokens === 0) return;
    const now = this.#context.clock.readMonotonic();
    holding.meter ??= new DrawMeter(now);
    holding.meter.record(tokens, now);
  }

  /** Returns the number of VMs that share the store, as far as known. */
  countVms(): number {
    return Math.max(this.loans.countVms(), this.#mostHolders);
  }

  /**
   * Recomputes the number of holders, which also falls when VMs leave. It runs
   * periodically, since doing so at each request would cost too much.
   */
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

  /** Takes tokens from the store for a borrower; waits a limited time. */
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
      longestBackoff: LONGEST_BACKOFF,
    });
  }

  #tryReserve(holding: Holding, tokens: Tokens): Reservation | undefined {
    const reserved = this.#accounts.reserve(holding.customer, tokens);
    if (reserved === undefined) return undefined;
    holding.meter?.record(tokens, this.#context.clock.readMonotonic());
    return reserved;
  }

  /** Reserves tokens; unlocks standby tokens if needed and allowed. */
  #tryAny(holding: Holding, tokens: Tokens): Reservation | undefined {
    const reserved = this.#tryReserve(holding, tokens);
    if (reserved !== undefined || !this.#standby.open(holding)) return reserved;
    return this.#tryReserve(holding, tokens);
  }

  /**
   * Whether a request exceeds what is left even if all tokens that other VMs
   * hold were unspent. Closed tokens and those that this incarnation has spent
   * can't come back.
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
      /** Whether no VM has enough tokens, so that a retry has no use. */
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

  /** Returns the delay after which a retry is likely to succeed. */
  #computeReturnTime(holding: Holding, tokens: Tokens): Millis {
    const outage = this.#computeOutage(holding);
    const opening = outage > 0
      ? this.#standby.computeReturnTime(holding, tokens)
      : undefined;
    // An outage is likely to last about as long again as it has lasted so far.
    return opening ?? Math.round(Math.max(HELD_RETRY_AFTER, outage));
  }

  /** Whether the store is unavailable, in general or for one budget's row. */
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

  /** Whether the store answers and may have enough tokens for a request. */
  #mayTableHelp(holding: Holding, tokens: Tokens): boolean {
    if (this.#isTableSilent(holding)) return false;
    if (isLimitRaised(holding)) return true;
    if (holding.budgetLeft === undefined) return true;
    const room = this.#accounts.computeRoom(holding.customer);
    // While the store answers, this VM's standby tokens can be returned to it
    // and taken again for use.
    const most = room + holding.budgetLeft + sumSizes(holding.standby);
    return most >= tokens;
  }

  /** Starts a round of loans unless one is in progress for the customer. */
  #borrow(holding: Holding): void {
    if (holding.borrowing !== undefined) return;
    const report = createFailureReport(this.#context.log, "loans");
    holding.borrowing = this.#borrowUntilServed(holding)
      .catch(report)
      .finally(() => (holding.borrowing = undefined));
  }

  /** Asks peers in turn until no request lacks tokens or no peer is left. */
  async #borrowUntilServed(holding: Holding): Promise<void> {
    // Lets the caller store the promise of this round first: without it,
    // `readShortage` returns undefined.
    await Promise.resolve();
    // Each peer is asked once per round, so that no request waits for the same
    // peer to refuse twice.
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
      // A VM that is not a home asks the store only once no peer is left.
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
   * Refuses the requests that neither the store nor peers can serve. If all VMs
   * have answered, no VM has enough tokens: requests in progress count with all
   * that they have reserved.
   */
  #refuseShort(holding: Holding, isAllHeard: boolean): void {
    const isSilent = this.#isTableSilent(holding);
    // Tokens on their way back to the store are in no known figure yet.
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

  /**
   * Serves waiting requests after an answer of the store, and starts loans for
   * those that the store can't cover.
   */
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
        standby: sumSizes(each.standby),
        opening: sumOpen(each.opening),
        waiting: each.waiters.length,
      };
    });
  }
}

/** Plans an exchange that returns every standby grant. */
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
