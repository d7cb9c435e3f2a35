/**
 * Prepaid budgets of customers on this VM: reservations in memory against
 * grants from the table, sized to carry the VM through a time without it.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  computeAccountRoom,
  computeReserved,
  createEndEarlierLives,
  createEventAccount,
  createGrantExchange,
  DrawMeter,
  type EventAccount,
  type ExchangeInput,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  planExchange,
  planHolding,
  planLastExchange,
  receiveExchange,
  receiveGrant,
  type Reservation,
  reserveTokens,
  settleReservation,
  STANDBY_DELAY,
  type StandbyHolding,
} from "../../budget/mod.ts";
import {
  BudgetLean,
  combineUndo,
  type CommandType,
  createCommand,
  type CustomerId,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type SliceType,
  type Tokens,
  type Undo,
} from "../../core/mod.ts";
import { StoreWriter } from "../../ports/mod.ts";
import type { RouteConfiguration, RoutedCustomer } from "../../routes/mod.ts";
import {
  createFailureReport,
  createRefusal,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { computePresenceInterval, PresenceKeeper } from "./presence_keeper.ts";
import { WritePace } from "./write_pace.ts";

/** Accounts by customer; a budget row is named like its customer. */
const ACCOUNTS: SliceType<Map<CustomerId, EventAccount>> = {
  name: "customer_accounts",
  createInitial: () => new Map(),
};

/** Returns the account after a change. */
type AccountChange = (account: EventAccount) => EventAccount;

const CHANGE_ACCOUNT: CommandType<
  { readonly customer: CustomerId; readonly change: AccountChange },
  EventAccount
> = createCommand("gateway.change_account");

/** Pause between two looks at all holdings; refills of customers go together. */
const VISIT_INTERVAL: Millis = 400;

/** Time that a refill takes at the longest while the table answers. */
const REFILL_TIME: Millis = 700;

/** Longest wait for tokens within a request; one exchange and a conflict. */
const MAX_TOKEN_WAIT: Millis = 800;

/** Weight of the newest request in the usual size. */
const USUAL_WEIGHT = 1 / 32;

/** Time from the first draw until it shows which customers draw here. */
const SETTLING_TIME: Millis = 3_000;

/** Longest pause between tries: tokens run out while the table is away. */
const LONGEST_BACKOFF: Millis = 250;

/** Longest time that an exchange takes while the table answers. */
const USUAL_EXCHANGE: Millis = 800;

/** Time after which tokens that others hold may have come back. */
const HELD_RETRY_AFTER: Millis = 1_000;

/** Least time to come back in: a round trip and some margin. */
const LEAST_RETURN_TIME: Millis = 100;

/** Customers whose first holding is taken before their first request. */
const MOST_PREFETCHED = 200;

interface Waiter {
  readonly requestId: string;
  readonly tokens: Tokens;
  readonly deadline: MonotonicTime;
  resolve(result: Either<Refusal, Reservation>): void;
}

/** What is known of one customer's budget besides the account. */
interface Holding {
  readonly customer: CustomerId;
  /** Of the budget's one row: customers' rows don't wait for each other. */
  readonly writer: StoreWriter;
  prepaid: Tokens;
  /** The limit that the row is known to have. */
  rowLimit: Tokens;
  budgetLeft: Tokens | undefined;
  closed: Tokens;
  holders: number;
  othersRate: number;
  /** Tokens that wait for a time without the table. */
  standby: readonly StandbyHolding[];
  /** Standby grants in use of which the table doesn't know. */
  usedStandby: readonly string[];
  /** When the exchange under way was sent. */
  askedAt: MonotonicTime;
  /** Whether the row was read by this life, so that its state is known. */
  hasJoined: boolean;
  /** Present from the first draw on. */
  meter: DrawMeter | undefined;
  exchanging: boolean;
  waiters: Waiter[];
}

/** Reserves and settles tokens of customers. */
export class CustomerBudgets {
  readonly #context: GatewayContext;
  readonly #presence: PresenceKeeper;
  readonly #holdings = new Map<CustomerId, Holding>();
  readonly #exchanges = new Set<Promise<void>>();
  #exchangeNumber = 0;
  /** Smoothed over the requests of all customers. */
  #usualRequest: Tokens = 0;
  #firstDraw: MonotonicTime | undefined;
  readonly #pace = new WritePace();
  #isStopping = false;
  #listenVms: (count: number) => void = () => {};

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#presence = new PresenceKeeper(context, {
      mayConfirm: () => !this.#hasUntoldStandby(),
      computeInterval: () => this.#computePresenceInterval(),
    });
  }

  /** Registers the command, the dump and the periodic refills. */
  register(): Undo {
    const { kernel, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: VISIT_INTERVAL,
      random,
      run: () => {
        this.#visitAll();
        return Promise.resolve();
      },
      reportError: createFailureReport(log, "budgets"),
    });
    return combineUndo([
      kernel.registerCommand(CHANGE_ACCOUNT, ({ customer, change }, update) => {
        const accounts = update.read(ACCOUNTS);
        const before = accounts.get(customer) ?? createEventAccount(customer);
        const after = change(before);
        accounts.set(customer, after);
        return after;
      }),
      kernel.registerDump("budgets", () => this.#describe()),
      this.#presence.register(),
      periodic.stop,
    ]);
  }

  /** Calls a function with the number of VMs that hold tokens, as it changes. */
  listenVmCount(listener: (count: number) => void): void {
    this.#listenVms = listener;
  }

  /** Takes over the limits of a configuration. */
  applyConfiguration(configuration: RouteConfiguration): void {
    const isPrefetched = configuration.customers.length <= MOST_PREFETCHED;
    for (const customer of configuration.customers) {
      if (customer.prepaid === undefined) continue;
      const holding = this.#holdings.get(customer.id);
      if (holding !== undefined) {
        holding.prepaid = Math.max(holding.prepaid, customer.prepaid);
      } else if (isPrefetched) this.#readHolding(customer);
    }
    this.#visitAll();
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
    holding.meter ??= new DrawMeter(now);
    this.#firstDraw ??= now;
    this.#usualRequest += (tokens - this.#usualRequest) * USUAL_WEIGHT;
    const reserved = holding.waiters.length === 0
      ? this.#tryReserve(holding, tokens) ??
        this.#reserveFromStandby(holding, tokens)
      : undefined;
    if (reserved !== undefined) return Promise.resolve(Right(reserved));
    if (this.#isSpent(holding, tokens) || this.#computeOutage(holding) > 0) {
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
    this.#change(
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
  async returnAll(): Promise<void> {
    this.#isStopping = true;
    await Promise.all([...this.#exchanges]);
    for (const holding of this.#holdings.values()) {
      this.#startExchange(holding, planLastExchange);
    }
    await Promise.all([...this.#exchanges]);
  }

  /** Gives up on what is on its way to the table; nothing is asked after it. */
  close(): void {
    this.#isStopping = true;
    for (const { writer } of this.#holdings.values()) writer.close();
  }

  #readHolding(customer: RoutedCustomer): Holding {
    const known = this.#holdings.get(customer.id);
    if (known !== undefined) return known;
    const holding: Holding = {
      customer: customer.id,
      writer: this.#createWriter(),
      prepaid: customer.prepaid ?? 0,
      rowLimit: 0,
      budgetLeft: undefined,
      closed: 0,
      holders: 0,
      othersRate: 0,
      standby: [],
      usedStandby: [],
      askedAt: 0,
      hasJoined: false,
      meter: undefined,
      exchanging: false,
      waiters: [],
    };
    this.#holdings.set(customer.id, holding);
    void this.#endEarlierLives(holding);
    return holding;
  }

  #createWriter(): StoreWriter {
    const { dialect, clock, random } = this.#context;
    return new StoreWriter({
      table: dialect.table,
      clock,
      random,
      sleep: (duration) => new Promise((done) => setTimeout(done, duration)),
      groupDelay: 0,
      longestBackoff: LONGEST_BACKOFF,
    });
  }

  /** Frees what earlier lives of this VM can't have used and ends the rest. */
  async #endEarlierLives(holding: Holding): Promise<void> {
    const { vm, incarnation, clock, log } = this.#context;
    const untouched = await this.#presence.findUntouchedLife();
    const operation = createEndEarlierLives({
      eventId: holding.customer,
      vm,
      incarnation,
      untouched,
      initialLimit: holding.prepaid,
      wallTime: clock.readWall(),
    });
    const answer = await holding.writer.run(operation, { giveUpAt: Infinity });
    answer.ifRight(({ freed, writtenOff, othersRate }) => {
      holding.othersRate = othersRate;
      holding.hasJoined = true;
      this.#startExchange(holding, planExchange);
      if (freed + writtenOff === 0) return;
      log.warn(LogEvent.GrantWrittenOff, {
        customer: holding.customer,
        written_off: writtenOff,
        freed,
        life: untouched,
      });
    });
  }

  #readAccount(customer: CustomerId): EventAccount {
    return this.#context.kernel.read(ACCOUNTS).get(customer) ??
      createEventAccount(customer);
  }

  #change(customer: CustomerId, change: AccountChange): EventAccount {
    return this.#context.kernel.dispatch(CHANGE_ACCOUNT, { customer, change });
  }

  #tryReserve(holding: Holding, tokens: Tokens): Reservation | undefined {
    const now = this.#context.clock.readMonotonic();
    let reservation: Reservation | undefined;
    this.#change(
      holding.customer,
      (account) =>
        reserveTokens(account, { tokens, now }).caseOf({
          Left: () => account,
          Right: (result) => {
            reservation = result.reservation;
            return result.account;
          },
        }),
    );
    if (reservation !== undefined) holding.meter?.record(tokens, now);
    return reservation;
  }

  /** Begins to use the standby tokens when the table was away for long enough. */
  #reserveFromStandby(
    holding: Holding,
    tokens: Tokens,
  ): Reservation | undefined {
    const { standby } = holding;
    if (standby.length === 0 || !this.#presence.mayUseStandby()) {
      return undefined;
    }
    const ids = standby.map((each) => each.grantId);
    holding.standby = [];
    holding.usedStandby = [...holding.usedStandby, ...ids];
    const now = this.#context.clock.readMonotonic();
    const deadline = now + GRANT_TERM;
    this.#change(
      holding.customer,
      (account) =>
        standby.reduce(
          (changed, grant) => receiveGrant(changed, { ...grant, deadline }),
          account,
        ),
    );
    this.#context.log.info(LogEvent.StandbyUsed, {
      customer: holding.customer,
      grants: ids.length,
      size: sumSizes(standby),
      away_ms: Math.round(this.#presence.computeSilence()),
    });
    return this.#tryReserve(holding, tokens);
  }

  #hasUntoldStandby(): boolean {
    return [...this.#holdings.values()]
      .some((each) => each.usedStandby.length > 0);
  }

  /**
   * Whether not even all tokens that other VMs may hold unspent would cover a
   * request. What this life has spent and what is closed can't come back.
   */
  #isSpent(holding: Holding, tokens: Tokens): boolean {
    if (holding.budgetLeft === undefined) return false;
    if (holding.prepaid > holding.rowLimit) return false;
    const open = this.#readAccount(holding.customer).grants
      .reduce((sum, grant) => sum + grant.spent, 0);
    return holding.rowLimit - holding.closed - open < tokens;
  }

  /**
   * Returns how long the table has not answered about a customer, once that is
   * longer than an answer takes; waiting for it has no use then.
   */
  #computeOutage(holding: Holding): Millis {
    if (!holding.exchanging) return 0;
    const silent = this.#context.clock.readMonotonic() - holding.askedAt;
    return silent > USUAL_EXCHANGE ? silent : 0;
  }

  #createShort(
    holding: Holding,
    input: { readonly tokens: Tokens; readonly requestId: string },
  ): Refusal {
    const { tokens, requestId } = input;
    const isSpent = this.#isSpent(holding, tokens);
    const account = this.#readAccount(holding.customer);
    this.#context.log.warn(LogEvent.BudgetShort, {
      request: requestId,
      customer: holding.customer,
      tokens,
      room: computeAccountRoom(account, this.#context.clock.readMonotonic()),
      reserved: computeReserved(account),
      budget_left: holding.budgetLeft,
      closed: holding.closed,
      limit: holding.rowLimit,
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
    if (outage > 0 && sumSizes(holding.standby) >= tokens) {
      const left = STANDBY_DELAY - this.#presence.computeSilence();
      return Math.max(LEAST_RETURN_TIME, left);
    }
    // An outage that has lasted so long is likely to last about as long.
    return Math.round(Math.max(HELD_RETRY_AFTER, outage));
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
    this.#startExchange(holding, planExchange);
  }

  #refuse(holding: Holding, waiter: Waiter): void {
    if (!holding.waiters.includes(waiter)) return;
    holding.waiters = holding.waiters.filter((each) => each !== waiter);
    waiter.resolve(Left(this.#createShort(holding, waiter)));
  }

  #serveWaiters(holding: Holding): void {
    while (holding.waiters.length > 0) {
      const [waiter, ...rest] = holding.waiters;
      const reserved = this.#tryReserve(holding, waiter!.tokens);
      if (reserved === undefined) return;
      holding.waiters = rest;
      waiter!.resolve(Right(reserved));
    }
  }

  #computePresenceInterval(): Millis {
    const { writesPerSecond } = this.#context.settings.store;
    return computePresenceInterval({
      vms: this.countHolders(),
      writesPerSecond,
    });
  }

  /** Fills up and gives back, within this VM's share of the table's writes. */
  #visitAll(): void {
    if (this.#isStopping) return;
    const { clock, settings } = this.#context;
    const { writesPerSecond } = settings.store;
    const vms = this.countHolders();
    this.#pace.earn(clock.readMonotonic(), { vms, writesPerSecond });
    const joined = [...this.#holdings.values()]
      .filter((each) => each.hasJoined)
      .sort((left, right) => left.askedAt - right.askedAt);
    for (const holding of joined) {
      if (!this.#pace.hasRoom) return;
      if (this.#startExchange(holding, planExchange)) this.#pace.take();
    }
  }

  /** Returns whether the table is asked. */
  #startExchange(
    holding: Holding,
    plan: (account: EventAccount, input: ExchangeInput) => EventAccount,
  ): boolean {
    if (holding.exchanging) return false;
    const input = this.#createExchangeInput(holding);
    const account = this.#change(
      holding.customer,
      (before) => plan(before, input),
    );
    if (account.exchange === undefined) return false;
    // From here on the table may count a dropped standby grant as free.
    const { drops = [] } = account.exchange.standby ?? {};
    holding.standby = holding.standby
      .filter((each) => !drops.includes(each.grantId));
    holding.exchanging = true;
    holding.askedAt = this.#context.clock.readMonotonic();
    const running = this.#runExchange(holding, account.exchange);
    this.#exchanges.add(running);
    void running.finally(() => this.#exchanges.delete(running));
    return true;
  }

  #createExchangeInput(holding: Holding): ExchangeInput {
    const { vm, incarnation, clock, settings } = this.#context;
    const now = clock.readMonotonic();
    const need = holding.waiters.reduce((sum, each) => sum + each.tokens, 0);
    const left = holding.budgetLeft;
    // A raised limit is news to the row, so that what was spent may be had.
    const isRaised = holding.prepaid > holding.rowLimit;
    const budgetLeft = left === undefined || !isRaised
      ? left
      : left + holding.prepaid - holding.rowLimit;
    const known = budgetLeft === undefined ? holding.prepaid : budgetLeft;
    const rate = holding.meter?.computeRate(now);
    return {
      now,
      wallTime: clock.readWall(),
      lean: BudgetLean.TighterBudget,
      need,
      grantId: `${vm}/${incarnation}/${++this.#exchangeNumber}`,
      holder: { vm, incarnation },
      initialLimit: holding.prepaid,
      raisesLimit: true,
      drawRate: this.#isStopping ? 0 : Math.round(rate ?? 0),
      usedStandby: holding.usedStandby,
      heldStandby: holding.standby.map((each) => each.grantId),
      plan: (account) =>
        planHolding(account, {
          now,
          need,
          budgetLeft: known,
          holders: holding.holders,
          isTrafficOn: now - (this.#firstDraw ?? now) > SETTLING_TIME,
          othersRate: holding.othersRate,
          offline: settings.budgets.offlineMillis,
          active: STANDBY_DELAY + this.#computePresenceInterval() +
            REFILL_TIME,
          usualRequest: this.#usualRequest,
          standby: holding.standby,
          ...(rate === undefined ? {} : { rate }),
        }),
    };
  }

  async #runExchange(holding: Holding, exchange: GrantExchange): Promise<void> {
    const { clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    // The table may apply it after any time, so it is never abandoned.
    const answer = await holding.writer.run(createGrantExchange(exchange), {
      giveUpAt: Infinity,
    });
    holding.exchanging = false;
    answer.caseOf({
      Left: (error) => {
        log.error(LogEvent.StoreFailed, {
          customer: holding.customer,
          reason: error.message,
        });
      },
      Right: (result) => this.#receive(holding, { exchange, result, askedAt }),
    });
  }

  #receive(
    holding: Holding,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
      readonly askedAt: MonotonicTime;
    },
  ): void {
    const { exchange, result, askedAt } = input;
    holding.budgetLeft = result.budgetLeft;
    holding.rowLimit = result.limit;
    holding.closed = result.closed;
    this.#receiveStandby(holding, input);
    holding.othersRate = result.othersRate;
    if (result.holders !== holding.holders) {
      holding.holders = result.holders;
      this.#listenVms(this.countHolders());
    }
    this.#change(
      holding.customer,
      (account) =>
        receiveExchange(account, { result, deadline: askedAt + GRANT_TERM }),
    );
    this.#logExchange(holding, { exchange, result });
    this.#serveWaiters(holding);
    this.#refuseHopeless(holding);
  }

  #receiveStandby(
    holding: Holding,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
    },
  ): void {
    const { used = [], take } = input.exchange.standby ?? {};
    holding.usedStandby = holding.usedStandby
      .filter((each) => !used.includes(each));
    const size = input.result.standbySize;
    if (take === undefined || size === 0) return;
    holding.standby = [...holding.standby, { grantId: take.grantId, size }];
  }

  #logExchange(
    holding: Holding,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
    },
  ): void {
    const { exchange, result } = input;
    const { log, metrics, clock } = this.#context;
    if (result.size > 0) metrics.grantsTaken.inc();
    const account = this.#readAccount(holding.customer);
    const now = clock.readMonotonic();
    log.info(LogEvent.GrantExchanged, {
      customer: holding.customer,
      exchange: exchange.id,
      rate: Math.round(holding.meter?.computeRate(now) ?? 0),
      others_rate: holding.othersRate,
      room: computeAccountRoom(account, now),
      reserved: computeReserved(account),
      held_standby: sumSizes(holding.standby),
      wanted: exchange.take?.wanted,
      size: result.size,
      standby: result.standbySize,
      closed_grants: exchange.closes?.length ?? 0,
      lowered: exchange.shrinks?.length ?? 0,
      budget_left: result.budgetLeft,
      closed: result.closed,
      limit: result.limit,
      holders: result.holders,
    });
  }

  /** Refuses at once whoever the table's answer leaves without hope. */
  #refuseHopeless(holding: Holding): void {
    for (const waiter of [...holding.waiters]) {
      const isShort = (holding.budgetLeft ?? 0) < waiter.tokens;
      if (isShort) this.#refuse(holding, waiter);
    }
    if (holding.waiters.length > 0) this.#startExchange(holding, planExchange);
  }

  /** Returns the largest number of VMs that hold tokens of one customer. */
  countHolders(): number {
    return Math.max(
      1,
      ...[...this.#holdings.values()].map((each) => each.holders),
    );
  }

  #describe(): unknown {
    const now = this.#context.clock.readMonotonic();
    return [...this.#holdings.values()].map((each) => {
      const account = this.#readAccount(each.customer);
      return {
        customer: each.customer,
        prepaid: each.prepaid,
        rowLimit: each.rowLimit,
        budgetLeft: each.budgetLeft,
        closed: each.closed,
        holders: each.holders,
        rate: Math.round(each.meter?.computeRate(now) ?? 0),
        room: computeAccountRoom(account, now),
        reserved: computeReserved(account),
        standby: sumSizes(each.standby),
        waiting: each.waiters.length,
      };
    });
  }
}

function sumSizes(standby: readonly StandbyHolding[]): Tokens {
  return standby.reduce((sum, each) => sum + each.size, 0);
}
