/**
 * Prepaid budgets of customers on this VM. Requests reserve tokens in memory
 * from grants that the VM takes from the store; the grants are sized to last
 * through an outage of the store. If they run short, tokens are borrowed from
 * other VMs.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Left, Right } from "purify-ts";
import {
  type AccountChange,
  Accounts,
  chooseLoansKept,
  chooseRequestToBorrowFor,
  computeReserved,
  type EventAccount,
  type ExchangeInput,
  isReturning,
  listServable,
  planExchange,
  planLastExchange,
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
import { createRowWriter } from "../create_row_writer.ts";
import type { PeerAccess } from "../peers/peer_access.ts";
import { REBALANCE_INTERVAL } from "./exchange_pace.ts";
import { GrantExchanges } from "./grant_exchanges.ts";
import {
  type BudgetState,
  computeOutage,
  createBudgetState,
  isAnswerExpected,
  isLimitRaised,
  MAX_TOKEN_WAIT,
  sumUnlockedTokens,
  sumWaitingTokens,
  type Waiter,
} from "./budget_state.ts";
import { HolderDecisions } from "./holder_decisions.ts";
import { computePresenceInterval, PresenceWriter } from "./presence_writer.ts";
import { listInUse, StandbyTokens } from "./standby_tokens.ts";
import {
  type LendPreparation,
  type LoanAccounts,
  NOTHING_PREPARED,
  TokenLoans,
} from "./token_loans.ts";

/**
 * Time for which a request waits for the store's answer before peers are asked
 * for a loan as well.
 */
const LOAN_DELAY: Millis = 150;

/** Maximum time that a borrower waits while this VM takes tokens for it. */
const LEND_WAIT: Millis = 200;

/** Pause between two calls of {@link TokenLoans.borrow} in a round of loans. */
const LOAN_INTERVAL: Millis = 10;

/**
 * Pause before peers are asked again, one of which is taking tokens from the
 * store for this VM.
 */
const REFILL_POLL_INTERVAL: Millis = 80;

/**
 * Maximum age of the reading of a budget's row by which a request is refused as
 * beyond the budget. VMs that have left may have returned tokens since.
 */
const MAX_READING_AGE: Millis = 1_000;

/** Weight of the newest request in the moving average of request sizes. */
const REQUEST_SIZE_WEIGHT = 1 / 32;

/**
 * Maximum pause between two attempts to reach the store; short, since tokens
 * run out during an outage.
 */
const MAX_BACKOFF: Millis = 250;

/** Minimum retry delay for a caller; meanwhile other VMs may return tokens. */
const MIN_RETRY_AFTER: Millis = 1_000;

/**
 * Maximum number of customers in a configuration for which budgets are set up
 * before the first request; with more, each is set up at its first request.
 */
const MAX_PREFETCHED_CUSTOMERS = 200;

/** Reserves and settles the tokens of customers' requests. */
export class CustomerBudgets implements LoanAccounts {
  readonly #context: GatewayContext;
  readonly #accounts: Accounts;
  readonly #presence: PresenceWriter;
  readonly #standby: StandbyTokens;
  readonly #exchanges: GrantExchanges;
  readonly #holders: HolderDecisions;
  /** Loans from and to other VMs. */
  readonly loans: TokenLoans;
  readonly #budgets = new Map<CustomerId, BudgetState>();
  /** Moving average of the tokens reserved per request, over all customers. */
  #usualRequest: Tokens = 0;
  #firstRequestAt: MonotonicTime | undefined;
  /** Maximum number of VMs that hold tokens of one customer, as last known. */
  #maxHolders = 1;
  #vmCount = 1;
  #vmCountListener: (count: number) => void = () => {};
  #isDraining = false;

  constructor(context: GatewayContext, peers: PeerAccess) {
    this.#context = context;
    this.#accounts = new Accounts(context);
    this.loans = new TokenLoans(context, { accounts: this, peers });
    this.#presence = new PresenceWriter(context, {
      listInUse: () => [...this.#budgets.values()].flatMap(listInUse),
      onConfirmed: (inUse) => {
        this.#exchanges.recordAnswer();
        for (const budget of this.#budgets.values()) {
          this.#standby.unlockFully(budget, inUse);
        }
      },
      computeInterval: () => this.#computePresenceInterval(),
    });
    this.#standby = new StandbyTokens(context, {
      accounts: this.#accounts,
      computePresenceAge: () => this.#presence.computePresenceAge(),
      isStoreDown: () => this.#exchanges.isStoreDown,
    });
    this.#holders = new HolderDecisions(context, {
      isHome: (customer) => this.loans.isHome(customer),
      readUsualRequest: () => this.#usualRequest,
      readFirstRequestTime: () => this.#firstRequestAt,
    });
    this.#exchanges = new GrantExchanges(context, {
      accounts: this.#accounts,
      standby: this.#standby,
      computePresenceInterval: () => this.#computePresenceInterval(),
      countVms: () => this.countVms(),
      isHolder: (budget) => this.#holders.update(budget),
      areHomesKnown: () => this.loans.arePeersSettled,
      readUsualRequest: () => this.#usualRequest,
      readFirstRequestTime: () => this.#firstRequestAt,
      onAnswer: (budget) => this.#handleAnswer(budget),
    });
  }

  /** Registers accounts and dump, and starts the periodic tasks. */
  register(): Undo {
    const { kernel, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: REBALANCE_INTERVAL,
      random,
      run: () => {
        this.#countHolders();
        this.#exchanges.mergeRestored(this.#budgets.values());
        // In a planned stop, tokens are taken only for requests that wait.
        if (this.mayLend()) this.#exchanges.rebalance(this.#budgets.values());
        this.#giveIdleLoansBack();
        return Promise.resolve();
      },
      reportError: createErrorReporter(log, "budgets"),
    });
    return combineUndo([
      this.#accounts.register(),
      kernel.registerDump("budgets", () => this.#describe()),
      this.#presence.register(),
      periodic.stop,
    ]);
  }

  /**
   * Sets the function that is called with each change of {@link countVms}; it
   * replaces the one before.
   */
  setVmCountListener(listener: (count: number) => void): void {
    this.#vmCountListener = listener;
  }

  /** Applies the budget limits of a configuration; limits are never lowered. */
  applyConfiguration(configuration: GatewayConfiguration): void {
    const isPrefetched =
      configuration.customers.length <= MAX_PREFETCHED_CUSTOMERS;
    for (const customer of configuration.customers) {
      if (customer.prepaid === undefined) continue;
      const budget = this.#budgets.get(customer.id);
      if (budget !== undefined) {
        budget.prepaid = Math.max(budget.prepaid, customer.prepaid);
      } else if (isPrefetched) this.#findOrCreateBudget(customer);
    }
    this.#exchanges.rebalance(this.#budgets.values());
  }

  /**
   * Reserves the maximum number of tokens that a request can use. Waits for the
   * store and for loans if this VM has too few; resolves to a refusal if that
   * fails.
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
    const budget = this.#findOrCreateBudget(customer);
    const { tokens, requestId } = input;
    const now = this.#context.clock.readMonotonic();
    budget.meter ??= new SpendingMeter(now);
    this.#firstRequestAt ??= now;
    this.#usualRequest += (tokens - this.#usualRequest) * REQUEST_SIZE_WEIGHT;
    // Waiting requests go first, unless a round of loans is serving them.
    const mayTry = budget.waiters.length === 0 ||
      budget.loanRound !== undefined;
    const reserved = mayTry
      ? this.#tryReserveWithStandby(budget, tokens)
      : undefined;
    if (reserved !== undefined) return Promise.resolve(Right(reserved));
    if (this.#isBudgetSpent(budget, tokens)) {
      const refusal = this.#createShortageRefusal(budget, {
        tokens,
        requestId,
      });
      return Promise.resolve(Left(refusal));
    }
    const deadline = Math.min(input.deadline, now + MAX_TOKEN_WAIT);
    return new Promise((resolve) => {
      this.#addWaiter(budget, { requestId, tokens, deadline, resolve });
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
    const budget = this.#budgets.get(customer);
    if (budget === undefined) return;
    // The full reservation was counted when it was made, so that a burst
    // raises the rate at once; the unused tokens are deducted here.
    budget.meter?.record(spent - reservation.tokens, now);
    this.#serveWaiters(budget);
  }

  /**
   * Returns every unreserved token to the store, for a planned stop. Loans go
   * through the row as well, since their lenders may be stopping too.
   */
  returnAll(): Promise<void> {
    return this.#exchanges.returnAll([...this.#budgets.values()]);
  }

  /** Abandons exchanges in progress and starts no further refills. */
  close(): void {
    this.#exchanges.stop();
    for (const { writer } of this.#budgets.values()) writer.close();
  }

  /** Returns the account of a customer. */
  readAccount(customer: CustomerId): EventAccount {
    return this.#accounts.read(customer);
  }

  /** Changes a customer's account and serves the requests that wait for it. */
  changeAccount(customer: CustomerId, change: AccountChange): EventAccount {
    const account = this.#accounts.change(customer, change);
    const budget = this.#budgets.get(customer);
    if (budget !== undefined) this.#serveWaiters(budget);
    return account;
  }

  /** Returns the total tokens that waiting requests of a customer need. */
  readWaitingTokens(customer: CustomerId): Tokens {
    const budget = this.#budgets.get(customer);
    return budget === undefined ? 0 : sumWaitingTokens(budget);
  }

  /** Returns the other VMs that hold a customer's tokens, by the budget row. */
  listHolders(customer: CustomerId): readonly VmId[] {
    return this.#budgets.get(customer)?.otherHolders ?? [];
  }

  /** Whether this VM holds a customer's tokens ahead of need. */
  isHolder(customer: CustomerId): boolean {
    return this.#budgets.get(customer)?.isHolder ??
      this.loans.isHome(customer);
  }

  /** Returns the spending rate of all VMs, as far as known. */
  computeTotalRate(customer: CustomerId): number {
    const budget = this.#budgets.get(customer);
    return budget === undefined ? 0 : this.#holders.computeTotalRate(budget);
  }

  /**
   * Returns the shortfall of the smallest waiting request, which is 0 or less
   * if the account covers it. Returns undefined if no request waits or no round
   * of loans is in progress.
   */
  readShortfall(customer: CustomerId): Tokens | undefined {
    const budget = this.#budgets.get(customer);
    if (budget?.loanRound === undefined) return undefined;
    const waiter = chooseRequestToBorrowFor(budget.waiters);
    if (waiter === undefined) return undefined;
    return waiter.tokens - this.#accounts.computeRoom(customer);
  }

  /**
   * Tries to make tokens available for a loan. In an outage of the store it
   * unlocks standby tokens. Otherwise it takes tokens from the store or, if
   * too few are left there, returns the standby tokens to it: a borrower can be
   * expected to reach the store if this VM does. In a planned stop it returns
   * all tokens that no request has reserved.
   */
  async prepareToLend(
    customer: CustomerId,
    request: { readonly borrower: VmId; readonly tokens: Tokens },
  ): Promise<LendPreparation> {
    const { borrower, tokens } = request;
    const budget = this.#budgets.get(customer);
    if (budget === undefined) return NOTHING_PREPARED;
    if (!this.mayLend()) {
      this.#exchanges.start(budget, planLastExchange);
      // What an exchange takes now is returned by the next one.
      const isRefilling = budget.exchanging &&
        !this.#isStoreUnresponsive(budget);
      return { returning: 0, isRefilling };
    }
    const hasEnough = () => this.#accounts.computeRoom(customer) >= tokens;
    if (hasEnough()) {
      budget.borrowerDemand.remove(borrower);
      return NOTHING_PREPARED;
    }
    if (this.#exchanges.isStoreDown) {
      this.#standby.unlock(budget);
      return NOTHING_PREPARED;
    }
    // The row has few writers: a VM that isn't a holder leaves it to them.
    if (!this.#holders.update(budget)) {
      return { returning: 0, isRefilling: this.#areTokensReturning(budget) };
    }
    if (this.#mayRowCover(budget, tokens)) {
      const now = this.#context.clock.readMonotonic();
      budget.borrowerDemand.record(borrower, { tokens, now });
      await this.#refillForBorrowers(budget);
      if (hasEnough()) budget.borrowerDemand.remove(borrower);
      return { returning: 0, isRefilling: budget.exchanging };
    }
    const returning = sumStandbySizes(budget.standby);
    if (returning > 0) this.#exchanges.start(budget, planStandbyReturn);
    return { returning, isRefilling: this.#areTokensReturning(budget) };
  }

  /**
   * Begins a planned stop: lends nothing more while the store is available, so
   * that most loans are settled when the grants are closed, and takes nothing
   * more for borrowers that it has not served.
   */
  startDrain(): void {
    this.#isDraining = true;
    for (const { borrowerDemand } of this.#budgets.values()) {
      borrowerDemand.clear();
    }
  }

  /** Whether this VM makes loans now. */
  mayLend(): boolean {
    return !this.#isDraining || this.#exchanges.isStoreDown;
  }

  /**
   * Whether borrowed tokens may be lent on. While the budget's row has enough
   * they go back to their lender instead, where the next borrower finds them;
   * the last tokens of a budget must not wait for that.
   */
  mayRelend(customer: CustomerId, tokens: Tokens): boolean {
    const budget = this.#budgets.get(customer);
    if (budget === undefined || this.#exchanges.isStoreDown) return true;
    // Not what this VM holds as well, of which the borrowed tokens are a part.
    const { budgetLeft = Infinity } = budget;
    return !isLimitRaised(budget) && budgetLeft < tokens;
  }

  /** Counts lent tokens as spending by this VM. */
  recordLent(customer: CustomerId, tokens: Tokens): void {
    const budget = this.#budgets.get(customer);
    if (budget === undefined || tokens === 0) return;
    const now = this.#context.clock.readMonotonic();
    budget.meter ??= new SpendingMeter(now);
    budget.meter.record(tokens, now);
  }

  /** Returns the number of VMs that share the store, as far as known. */
  countVms(): number {
    return Math.max(this.loans.countVms(), this.#maxHolders);
  }

  /**
   * Recomputes the number of holders, which also falls when VMs leave. It runs
   * periodically, since doing so at each request would cost too much.
   */
  #countHolders(): void {
    this.#maxHolders = 1;
    for (const { holders } of this.#budgets.values()) {
      this.#maxHolders = Math.max(this.#maxHolders, holders);
    }
  }

  /**
   * Gives loans back to their lenders when they have not been used for a while
   * or exceed what this VM should hold. Their lenders can lend them again at
   * once, while a return to the store would write the budget's row.
   */
  #giveIdleLoansBack(): void {
    const now = this.#context.clock.readMonotonic();
    const report = createErrorReporter(this.#context.log, "loans");
    for (const { customer, waiters } of this.#budgets.values()) {
      if (waiters.length > 0) continue;
      const kept = chooseLoansKept(this.#accounts.read(customer), now);
      if (kept !== undefined) this.loans.giveBack(customer, kept).catch(report);
    }
  }

  #findOrCreateBudget(customer: RoutedCustomer): BudgetState {
    const known = this.#budgets.get(customer.id);
    if (known !== undefined) return known;
    const budget = createBudgetState({
      customer: customer.id,
      prepaid: customer.prepaid ?? 0,
      writer: createRowWriter(this.#context, MAX_BACKOFF),
    });
    this.#budgets.set(customer.id, budget);
    void this.#presence.findEarlierIncarnation()
      .then((earlier) =>
        this.#exchanges.endEarlierIncarnations(budget, earlier)
      );
    return budget;
  }

  /** Takes tokens from the store for borrowers; waits a limited time. */
  async #refillForBorrowers(budget: BudgetState): Promise<void> {
    const answered = new Promise<void>((resolve) => {
      budget.answerListeners.push(resolve);
    });
    this.#exchanges.start(budget, planExchange);
    await Promise.race([answered, sleep(LEND_WAIT)]);
  }

  #tryReserve(budget: BudgetState, tokens: Tokens): Reservation | undefined {
    const reserved = this.#accounts.reserve(budget.customer, tokens);
    if (reserved === undefined) return undefined;
    budget.meter?.record(tokens, this.#context.clock.readMonotonic());
    return reserved;
  }

  /** Reserves tokens; unlocks standby tokens if needed and allowed. */
  #tryReserveWithStandby(
    budget: BudgetState,
    tokens: Tokens,
  ): Reservation | undefined {
    const result = this.#tryReserve(budget, tokens);
    if (result !== undefined || !this.#standby.unlock(budget)) return result;
    return this.#tryReserve(budget, tokens);
  }

  /**
   * Whether a request needs more tokens than would be left if other VMs had
   * spent none of those that they hold. Closed tokens and those that this
   * incarnation has spent never become available again.
   */
  #isBudgetSpent(budget: BudgetState, tokens: Tokens): boolean {
    if (budget.budgetLeft === undefined) return false;
    if (isLimitRaised(budget)) return false;
    // Borrowed tokens are a part of their lender's grant.
    const spentHere = this.#accounts.read(budget.customer).grants
      .filter((grant) => grant.lenderGrantId === undefined)
      .reduce((sum, grant) => sum + grant.spent, 0);
    return budget.rowLimit - budget.closed - spentHere < tokens;
  }

  #createShortageRefusal(
    budget: BudgetState,
    input: {
      readonly tokens: Tokens;
      readonly requestId: string;
      /** Whether no VM has enough tokens, so that a retry would fail too. */
      readonly isExhausted?: boolean;
    },
  ): Refusal {
    const { tokens, requestId } = input;
    const isSpent = input.isExhausted === true ||
      this.#isBudgetSpent(budget, tokens);
    const account = this.#accounts.read(budget.customer);
    const now = this.#context.clock.readMonotonic();
    this.#context.log.warn(LogEvent.BudgetShort, {
      request: requestId,
      customer: budget.customer,
      tokens,
      room: this.#accounts.computeRoom(budget.customer),
      reserved: computeReserved(account),
      budget_left: budget.budgetLeft,
      closed: budget.closed,
      limit: budget.rowLimit,
      exchange_ms: budget.exchanging
        ? Math.round(now - budget.exchangeStartedAt)
        : undefined,
      failure: budget.writer.readLastError()?.message,
      store_down: this.#exchanges.isStoreDown,
      all_heard: input.isExhausted === true,
      spent: isSpent,
    });
    return isSpent
      ? createRefusal(RefusalKind.BudgetSpent)
      : createRefusal(RefusalKind.BudgetUnreachable, {
        retryAfter: this.#computeRetryAfter(budget, tokens),
      });
  }

  /** Returns the delay after which a retry is likely to succeed. */
  #computeRetryAfter(budget: BudgetState, tokens: Tokens): Millis {
    const outage = this.#computeOutage(budget);
    const unlockDelay = outage > 0
      ? this.#standby.computeRetryAfter(budget, tokens)
      : undefined;
    // An outage is expected to last as long again as it has lasted so far.
    return unlockDelay ?? Math.round(Math.max(MIN_RETRY_AFTER, outage));
  }

  /** Whether the store is unavailable, in general or for one budget's row. */
  #isStoreUnresponsive(budget: BudgetState): boolean {
    if (this.#computeOutage(budget) > 0) return true;
    return this.#exchanges.isStoreDown && !isAnswerExpected(budget);
  }

  /**
   * Whether an exchange that returns tokens is in progress and its answer can be
   * awaited. They are neither in the account nor, perhaps, in the row. One that
   * only takes tokens shows in the row, either as left or as taken.
   */
  #areTokensReturning(budget: BudgetState): boolean {
    const { exchange } = this.#accounts.read(budget.customer);
    return budget.exchanging && !this.#isStoreUnresponsive(budget) &&
      exchange !== undefined && isReturning(exchange);
  }

  #computeOutage(budget: BudgetState): Millis {
    return computeOutage(budget, this.#context.clock.readMonotonic());
  }

  #addWaiter(budget: BudgetState, waiter: Waiter): void {
    const wait = waiter.deadline - this.#context.clock.readMonotonic();
    const waiting: Waiter = {
      ...waiter,
      resolve: (result) => {
        clearTimeout(timer);
        waiter.resolve(result);
      },
    };
    const timer = setTimeout(
      () => this.#refuse(budget, waiting),
      Math.max(0, wait),
    );
    budget.waiters.push(waiting);
    if (!this.#holders.update(budget)) return this.#borrow(budget);
    this.#exchanges.start(budget, planExchange);
    if (!this.#mayStoreCover(budget, waiting.tokens)) {
      return this.#borrow(budget);
    }
    setTimeout(() => {
      if (budget.waiters.includes(waiting)) this.#borrow(budget);
    }, LOAN_DELAY);
  }

  /** Whether the store answers and may have enough tokens for a request. */
  #mayStoreCover(budget: BudgetState, tokens: Tokens): boolean {
    return !this.#isStoreUnresponsive(budget) &&
      this.#mayRowCover(budget, tokens);
  }

  /** Whether the budget may have enough tokens, by its row as last read. */
  #mayRowCover(budget: BudgetState, tokens: Tokens): boolean {
    if (isLimitRaised(budget)) return true;
    if (budget.budgetLeft === undefined) return true;
    const available = this.#accounts.computeRoom(budget.customer);
    // While the store is available, this VM can return its standby tokens and
    // take them again as active tokens.
    const maxAvailable = available + budget.budgetLeft +
      sumStandbySizes(budget.standby);
    return maxAvailable >= tokens;
  }

  /** Starts a round of loans unless one is in progress for the customer. */
  #borrow(budget: BudgetState): void {
    if (budget.loanRound !== undefined) return;
    const report = createErrorReporter(this.#context.log, "loans");
    budget.loanRound = this.#borrowUntilServed(budget)
      .catch(report)
      .finally(() => (budget.loanRound = undefined));
  }

  /** Asks peers until no waiting request needs a loan or no peer is left. */
  async #borrowUntilServed(budget: BudgetState): Promise<void> {
    // Continues only after the caller has set `budget.loanRound`, without which
    // `readShortfall` returns undefined.
    await Promise.resolve();
    this.#dropOutdatedRefusals(budget);
    // Each peer is asked once per round, so that no request waits for the same
    // peer to refuse twice, unless tokens have moved since.
    let since = this.#context.clock.readMonotonic();
    let returning = 0;
    let isRefilling = false;
    for (;;) {
      this.#serveWaiters(budget);
      const missing = this.readShortfall(budget.customer);
      if (missing === undefined || missing <= 0) return;
      const step = await this.loans.borrow(budget.customer, {
        missing,
        since,
      });
      returning += step.returning;
      isRefilling ||= step.isRefilling;
      budget.lendersRate = step.totalRate ?? budget.lendersRate;
      const isCoverable = (waiter: Waiter) =>
        this.#mayStoreCover(budget, waiter.tokens);
      if (step.eligiblePeers > 0) {
        // Other lost peers would take up the rest of the requests' time.
        if (
          this.loans.areHomesSilent(budget.customer) &&
          budget.waiters.some(isCoverable)
        ) this.#exchanges.start(budget, planExchange);
        await sleep(LOAN_INTERVAL);
        continue;
      }
      if (
        isRefilling && !(budget.isHolder && budget.waiters.some(isCoverable))
      ) {
        // Its tokens are on their way, and the row keeps few writers.
        await sleep(REFILL_POLL_INTERVAL);
        since = this.#context.clock.readMonotonic();
        isRefilling = false;
        continue;
      }
      if (!budget.waiters.every(isCoverable)) {
        await this.#readRowAfter(budget, step.answeredAt);
        if (this.#dropOutdatedRefusals(budget)) {
          since = this.#context.clock.readMonotonic();
          continue;
        }
      }
      // A VM that is not a holder asks the store only after all peers.
      if (budget.waiters.some(isCoverable)) {
        this.#exchanges.start(budget, planExchange);
      }
      const haveAllAnswered = budget.readAt >= step.answeredAt &&
        this.loans.haveAllHoldersAnswered(budget.customer, step);
      return this.#refuseUnservable(budget, haveAllAnswered && returning === 0);
    }
  }

  /**
   * Reads the budget's row unless a reading is known that began after the peers'
   * last answer: what a peer had returned by then is in the row. All requests
   * that are refused until a peer is asked again share the reading.
   */
  async #readRowAfter(
    budget: BudgetState,
    answeredAt: MonotonicTime,
  ): Promise<void> {
    if (budget.exchanging || this.#isStoreUnresponsive(budget)) return;
    const now = this.#context.clock.readMonotonic();
    if (budget.readAt >= Math.max(answeredAt, now - MAX_READING_AGE)) return;
    await this.#exchanges.readRow(budget);
  }

  /**
   * Drops the refusals of peers if another VM has taken tokens since, which it
   * may have left; returns whether it did.
   */
  #dropOutdatedRefusals(budget: BudgetState): boolean {
    const { customer, otherTakes, refusalTakes } = budget;
    budget.refusalTakes = otherTakes;
    if (otherTakes.every((each) => refusalTakes.includes(each))) return false;
    this.loans.dropRefusals(customer);
    return true;
  }

  /**
   * Refuses the requests that neither the store nor peers can serve. If all VMs
   * have answered, no VM has enough tokens; the reservations of requests in
   * progress count as spent.
   */
  #refuseUnservable(budget: BudgetState, haveAllAnswered: boolean): void {
    const isUnresponsive = this.#isStoreUnresponsive(budget);
    // Tokens that the exchange in progress returns to the store are neither in
    // the account nor in the known `budgetLeft`.
    if (budget.exchanging && !isUnresponsive) return;
    const isExhausted = haveAllAnswered && !isUnresponsive;
    for (const waiter of [...budget.waiters]) {
      if (this.#mayStoreCover(budget, waiter.tokens)) continue;
      this.#refuse(budget, waiter, isExhausted);
    }
  }

  #refuse(budget: BudgetState, waiter: Waiter, isExhausted = false): void {
    if (!budget.waiters.includes(waiter)) return;
    budget.waiters = budget.waiters.filter((each) => each !== waiter);
    waiter.resolve(
      Left(this.#createShortageRefusal(budget, { ...waiter, isExhausted })),
    );
  }

  #serveWaiters(budget: BudgetState): void {
    if (budget.waiters.length === 0) return;
    const servable = listServable(budget.waiters, {
      room: this.#accounts.computeRoom(budget.customer),
      isScarce: budget.loanRound !== undefined,
    });
    for (const waiter of servable) {
      const reserved = this.#tryReserve(budget, waiter.tokens);
      if (reserved === undefined) return;
      budget.waiters = budget.waiters.filter((each) => each !== waiter);
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
  #handleAnswer(budget: BudgetState): void {
    for (const listener of budget.answerListeners.splice(0)) listener();
    this.#maxHolders = Math.max(this.#maxHolders, budget.holders);
    const count = this.countVms();
    if (count !== this.#vmCount) {
      this.#vmCount = count;
      this.#vmCountListener(count);
    }
    this.#serveWaiters(budget);
    this.#refillAgain(budget);
    const isCoverable = (waiter: Waiter) =>
      this.#mayStoreCover(budget, waiter.tokens);
    if (!budget.waiters.every(isCoverable)) this.#borrow(budget);
    if (budget.waiters.some(isCoverable)) {
      this.#exchanges.start(budget, planExchange);
    }
  }

  /** Takes tokens for the borrowers that asked during the last exchange. */
  #refillAgain(budget: BudgetState): void {
    const now = this.#context.clock.readMonotonic();
    const demand = budget.borrowerDemand.sum(now);
    const missing = demand - this.#accounts.computeRoom(budget.customer);
    if (missing <= 0 || budget.wasTakeDenied) return;
    this.#exchanges.start(budget, planExchange);
  }

  #describe(): unknown {
    const now = this.#context.clock.readMonotonic();
    return [...this.#budgets.values()].map((each) => {
      const account = this.#accounts.read(each.customer);
      return {
        customer: each.customer,
        home: this.loans.isHome(each.customer),
        holder: each.isHolder,
        prepaid: each.prepaid,
        rowLimit: each.rowLimit,
        budgetLeft: each.budgetLeft,
        closed: each.closed,
        holders: each.holders,
        rate: Math.round(each.meter?.computeRate(now) ?? 0),
        room: this.#accounts.computeRoom(each.customer),
        reserved: computeReserved(account),
        loans: account.grants.filter((grant) =>
          grant.lenderGrantId !== undefined
        ).length + account.settledLoans.length + account.pendingLoans.length,
        standby: sumStandbySizes(each.standby),
        opening: sumUnlockedTokens(each.unlockedGrants),
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
    grantReturns: [],
    standby: { drops, take: 0 },
  });
  return planExchange(account, { ...input, plan });
}
