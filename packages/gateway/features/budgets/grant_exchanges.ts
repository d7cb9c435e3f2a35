/**
 * Exchanges with the store: each one updates a customer's budget row with the
 * tokens that this VM takes, returns and has spent. At most one exchange per
 * customer is in progress.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Accounts,
  type BudgetRow,
  chooseRequestToBorrowFor,
  computeAccountRoom,
  computeReserved,
  computeUnlockTime,
  createEndEarlierIncarnations,
  createGrantExchange,
  type EarlierIncarnation,
  type EventAccount,
  type ExchangeInput,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  isRestoring,
  planExchange,
  planHolding,
  planLastExchange,
  receiveExchange,
  sumStandbySizes,
} from "../../../budget/mod.ts";
import {
  BudgetPreference,
  type Millis,
  type MonotonicTime,
  readEra,
  type Tokens,
} from "../../../core/mod.ts";
import type { OperationFacts } from "../../../ports/mod.ts";
import { createErrorReporter, LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { readStoreTime } from "../read_store_time.ts";
import {
  type BudgetState,
  isLimitRaised,
  MAX_EXCHANGE_TIME,
  sumWaitingTokens,
} from "./budget_state.ts";
import {
  choosePermit,
  computeRefillInterval,
  ExchangePermit,
  REBALANCE_INTERVAL,
} from "./exchange_pace.ts";
import {
  createBudgetMerge,
  runBudgetOperation,
} from "./run_budget_operation.ts";
import type { StandbyTokens } from "./standby_tokens.ts";
import { RefillLimiter } from "./refill_limiter.ts";

/**
 * During an outage of the store the active tokens must last until this fraction
 * of the standby tokens is unlocked.
 */
const MIN_UNLOCKED_FRACTION = 0.05;

/**
 * Maximum time that a refill takes while the store is available and a refill
 * may start at each periodic check.
 */
const MAX_REFILL_TIME: Millis = 700;

/** Number of budgets that are merged into a restored store at once. */
const MAX_MERGES_AT_ONCE = 8;

/** Time after which a deferred exchange is run again. */
const DEFERRAL_TIME: Millis = 250;

/**
 * Time from this VM's first request until a customer without requests counts as
 * having no traffic here.
 */
export const TRAFFIC_WARMUP: Millis = 3_000;

/**
 * Plans an exchange and returns the account with the exchange in it; an account
 * without one means that there is nothing to exchange.
 */
export type ExchangePlan = (
  account: EventAccount,
  input: ExchangeInput,
) => EventAccount;

/** Inputs for the planning of exchanges, and the listener of their answers. */
export interface ExchangeOptions {
  readonly accounts: Accounts;
  readonly standby: StandbyTokens;
  /** Returns the interval between two presence updates of this VM. */
  computePresenceInterval(): Millis;
  /** Returns the number of VMs that share the store. */
  countVms(): number;
  /** Whether this VM holds the customer's tokens ahead of need. */
  isHolder(budget: BudgetState): boolean;
  /**
   * Whether it is known which VMs are home VMs. Before, tokens are only taken
   * for requests that wait for them.
   */
  areHomesKnown(): boolean;
  /**
   * Returns the moving average of the tokens reserved per request, over all
   * customers; 0 before the first.
   */
  readUsualRequest(): Tokens;
  /** Returns when this VM received its first request; undefined before it. */
  readFirstRequestTime(): MonotonicTime | undefined;
  /** Called after an answer of the store was applied to a budget. */
  onAnswer(budget: BudgetState): void;
}

/** Runs exchanges and applies their answers. */
export class GrantExchanges {
  readonly #context: GatewayContext;
  readonly #options: ExchangeOptions;
  readonly #running = new Set<Promise<void>>();
  readonly #refillLimiter = new RefillLimiter();
  #grantSequence = 0;
  /**
   * When the store last answered. It starts as the time of creation, so that a
   * new incarnation counts the store as available at first.
   */
  #answeredAt: MonotonicTime;
  #isStopping = false;

  constructor(context: GatewayContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#answeredAt = context.clock.readMonotonic();
  }

  /** Whether the store is unavailable: its latest answer is overdue. */
  get isStoreDown(): boolean {
    const sinceAnswer = this.#context.clock.readMonotonic() - this.#answeredAt;
    // Confirmed presence updates count as answers too, so that the store isn't
    // taken for unavailable while no exchange is needed.
    return sinceAnswer >
      MAX_EXCHANGE_TIME + this.#options.computePresenceInterval();
  }

  /** Records that the store has answered. */
  recordAnswer(): void {
    this.#answeredAt = this.#context.clock.readMonotonic();
  }

  /**
   * Ends the grants of this VM's earlier incarnations in a budget's row: frees
   * the standby tokens that they can't have used and writes off the rest.
   */
  async endEarlierIncarnations(
    budget: BudgetState,
    earlier: EarlierIncarnation | undefined,
  ): Promise<void> {
    const { vm, incarnation, clock, log } = this.#context;
    const operation = createEndEarlierIncarnations({
      eventId: budget.customer,
      vm,
      incarnation,
      earlier,
      initialLimit: budget.prepaid,
      wallTime: clock.readWall(),
    });
    const answer = await runBudgetOperation(this.#context, {
      budget,
      operation,
      options: { giveUpAt: Infinity },
    });
    answer.ifRight(({ freed, writtenOff, reportedSpent, othersRate }) => {
      this.recordAnswer();
      budget.othersRate = othersRate;
      budget.isInitialized = true;
      if (
        isUrgent(budget, clock.readMonotonic()) || this.#options.areHomesKnown()
      ) {
        this.start(budget, planExchange);
      }
      if (freed + writtenOff === 0) return;
      log.warn(LogEvent.GrantWrittenOff, {
        customer: budget.customer,
        written_off: writtenOff,
        spent: reportedSpent,
        freed,
        life: earlier?.incarnation,
      });
    });
  }

  /**
   * Starts the exchanges that budgets need to reach their planned holdings,
   * within this VM's share of the store's write rate and of the writes of each
   * budget's row. Budgets whose last exchange started the longest ago come
   * first.
   */
  rebalance(budgets: Iterable<BudgetState>): void {
    if (this.#isStopping) return;
    const { clock, settings } = this.#context;
    const { writesPerSecond } = settings.store;
    const vms = this.#options.countVms();
    const now = clock.readMonotonic();
    this.#refillLimiter.accrue(now, { vms, writesPerSecond });
    const areHomesKnown = this.#options.areHomesKnown();
    const initialized = [...budgets]
      .filter((each) => each.isInitialized)
      .filter((each) => !isBorrowing(each))
      .filter((each) => areHomesKnown || isUrgent(each, now))
      .sort((left, right) => left.exchangeStartedAt - right.exchangeStartedAt);
    for (const budget of initialized) {
      if (!this.#refillLimiter.hasPermit) return;
      const permit = choosePermit({
        now,
        startedAt: budget.exchangeStartedAt,
        holders: budget.holders,
        isUrgent: isUrgent(budget, now),
      });
      if (permit === ExchangePermit.None) continue;
      const plan = permit === ExchangePermit.Any ? planExchange : planRefill;
      if (this.start(budget, plan)) this.#refillLimiter.consume();
    }
  }

  /**
   * Starts an exchange if none is in progress and the plan has one; returns
   * whether it did.
   */
  start(budget: BudgetState, plan: ExchangePlan): boolean {
    const now = this.#context.clock.readMonotonic();
    const isDeferred = !this.#isStopping && now < budget.deferredUntil;
    if (budget.exchanging || isDeferred) return false;
    const input = this.#createInput(budget);
    const { accounts, standby } = this.#options;
    const { exchange: earlier } = accounts.read(budget.customer);
    const account = accounts.change(
      budget.customer,
      (before) => plan(before, input),
    );
    if (account.exchange === undefined) return false;
    if (account.exchange !== earlier) {
      standby.prepareExchange(budget, account.exchange);
    }
    budget.exchanging = true;
    budget.exchangeStartedAt = this.#context.clock.readMonotonic();
    const running = this.#run(budget, account.exchange);
    this.#running.add(running);
    void running.finally(() => this.#running.delete(running));
    return true;
  }

  /**
   * Reads a budget's row without writing it; resolves once the store has
   * answered, or after {@link MAX_EXCHANGE_TIME}.
   */
  async readRow(budget: BudgetState): Promise<void> {
    const { vm, incarnation, clock } = this.#context;
    const startedAt = clock.readMonotonic();
    const operation = createGrantExchange({
      eventId: budget.customer,
      id: `${vm}/${incarnation}/${++this.#grantSequence}`,
      initialLimit: budget.prepaid,
      rate: { vm, rate: 0 },
    });
    const reading = runBudgetOperation(this.#context, {
      budget,
      operation,
      options: { giveUpAt: startedAt + MAX_EXCHANGE_TIME },
    }).then((answer) =>
      answer.ifRight((result) => {
        this.recordAnswer();
        applyReading(budget, { result, startedAt });
      })
    );
    // A call in progress may end later than its operation is given up.
    await Promise.race([reading, sleep(MAX_EXCHANGE_TIME)]);
  }

  /**
   * Merges what this VM knows of some budgets into the rows of a store that has
   * come back from a copy, those that it knows best first.
   */
  mergeRestored(budgets: Iterable<BudgetState>): void {
    const era = this.#context.dialect.table.readEra?.() ?? 0;
    if (era === 0) return;
    const readVersion = ({ known }: BudgetState) => known?.version ?? Infinity;
    const behind = [...budgets]
      .filter((each) => !each.isMerging && readEra(readVersion(each)) < era)
      .sort((left, right) => readVersion(right) - readVersion(left));
    for (const budget of behind.slice(0, MAX_MERGES_AT_ONCE)) {
      budget.isMerging = true;
      const merging = runBudgetOperation(this.#context, {
        budget,
        operation: createBudgetMerge(budget),
        options: { giveUpAt: Infinity },
      }).finally(() => (budget.isMerging = false));
      void merging.catch(createErrorReporter(this.#context.log, "merge"));
    }
  }

  /** Whether other VMs may still merge what they know into a row. */
  #mustWait(row: BudgetRow): boolean {
    if (row.restored?.at === undefined || this.#isStopping) return false;
    return isRestoring(row, readStoreTime(this.#context) ?? -Infinity);
  }

  /** Returns every unreserved token to the store, for a planned stop. */
  async returnAll(budgets: Iterable<BudgetState>): Promise<void> {
    this.stop();
    await Promise.all([...this.#running]);
    for (const budget of budgets) this.start(budget, planLastExchange);
    await Promise.all([...this.#running]);
  }

  /** Stops periodic refills and reports a spending rate of 0 from now on. */
  stop(): void {
    this.#isStopping = true;
  }

  #createInput(budget: BudgetState): ExchangeInput {
    const { vm, incarnation, clock } = this.#context;
    const now = clock.readMonotonic();
    const need = budget.wasTakeDenied
      ? chooseRequestToBorrowFor(budget.waiters)?.tokens ?? 0
      : sumWaitingTokens(budget) + budget.borrowerDemand.sum(now);
    const rate = budget.meter?.computeRate(now);
    return {
      now,
      wallTime: clock.readWall(),
      lean: BudgetPreference.TighterBudget,
      need,
      grantId: `${vm}/${incarnation}/${++this.#grantSequence}`,
      holder: { vm, incarnation },
      initialLimit: budget.prepaid,
      raisesLimit: true,
      drawRate: this.#isStopping ? 0 : Math.round(rate ?? 0),
      usedStandby: budget.unlockedGrants.map((each) => each.grantId),
      heldStandby: budget.standby.map((each) => each.grantId),
      plan: (account) =>
        planHolding(account, {
          ...this.#createHoldingInput(budget),
          now,
          need,
          // A rate of 0 means that nothing was reserved yet.
          ...(rate === undefined || rate === 0 ? {} : { rate }),
        }),
    };
  }

  #createHoldingInput(budget: BudgetState) {
    const { clock, settings } = this.#context;
    const options = this.#options;
    const now = clock.readMonotonic();
    const firstRequestAt = options.readFirstRequestTime() ?? now;
    return {
      budgetLeft: computeKnownBudgetLeft(budget),
      holders: budget.holders,
      hasTraffic: now - firstRequestAt > TRAFFIC_WARMUP,
      othersRate: budget.othersRate,
      outageCoverage: settings.budgets.offlineMillis,
      activeCoverage: computeUnlockTime(MIN_UNLOCKED_FRACTION) +
        options.computePresenceInterval() + MAX_REFILL_TIME +
        computeRefillInterval(budget.holders) - REBALANCE_INTERVAL,
      usualRequest: options.readUsualRequest(),
      standby: budget.standby,
      isHolder: options.isHolder(budget),
    };
  }

  async #run(budget: BudgetState, exchange: GrantExchange): Promise<void> {
    const { clock, log } = this.#context;
    const sentAt = clock.readMonotonic();
    // The store may still apply the exchange at any later time, so it is
    // retried until its outcome is known.
    let facts: OperationFacts | undefined;
    const answer = await runBudgetOperation(this.#context, {
      budget,
      operation: createGrantExchange(exchange, {
        isDeferred: (row) => this.#mustWait(row),
      }),
      options: {
        giveUpAt: Infinity,
        onCompleted: (completed) => (facts = completed),
      },
    });
    budget.exchanging = false;
    answer.caseOf({
      Left: (error) => {
        log.error(LogEvent.StoreFailed, {
          customer: budget.customer,
          reason: error.message,
        });
      },
      Right: (result) =>
        this.#receive(budget, { exchange, result, sentAt, facts }),
    });
  }

  #receive(
    budget: BudgetState,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
      /** When the exchange was first sent; the grant's term starts then. */
      readonly sentAt: MonotonicTime;
      readonly facts: OperationFacts | undefined;
    },
  ): void {
    const { exchange, result, sentAt } = input;
    const { accounts, standby, onAnswer } = this.#options;
    this.recordAnswer();
    if (result.isDeferred === true) {
      budget.deferredUntil = this.#context.clock.readMonotonic() +
        DEFERRAL_TIME;
      return;
    }
    applyReading(budget, { result, startedAt: sentAt });
    budget.wasTakeDenied = exchange.take !== undefined && result.size === 0;
    standby.receiveExchange(budget, input);
    accounts.change(
      budget.customer,
      (account) =>
        receiveExchange(account, { result, deadline: sentAt + GRANT_TERM }),
    );
    this.#logAnswer(budget, input);
    onAnswer(budget);
  }

  #logAnswer(
    budget: BudgetState,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
      readonly sentAt: MonotonicTime;
      readonly facts: OperationFacts | undefined;
    },
  ): void {
    const { exchange, result, sentAt, facts } = input;
    const { log, metrics, clock } = this.#context;
    if (result.size > 0) metrics.grantsTaken.inc();
    const account = this.#options.accounts.read(budget.customer);
    const now = clock.readMonotonic();
    log.info(LogEvent.GrantExchanged, {
      customer: budget.customer,
      exchange: exchange.id,
      rate: Math.round(budget.meter?.computeRate(now) ?? 0),
      others_rate: budget.othersRate,
      room: computeAccountRoom(account, now),
      reserved: computeReserved(account),
      held_standby: sumStandbySizes(budget.standby),
      wanted: exchange.take?.wanted,
      size: result.size,
      standby: result.standbySize,
      closed_grants: exchange.closes?.length ?? 0,
      lowered: exchange.shrinks?.length ?? 0,
      budget_left: result.budgetLeft,
      closed: result.closed,
      limit: result.limit,
      holders: result.holders,
      ms: Math.round(now - sentAt),
      conflicts: facts?.conflicts,
      failures: facts?.failures,
      failure: facts?.failureReason,
      row_bytes: facts?.rowBytes,
    });
  }
}

/** Applies the contents of a budget's row as they are after an operation. */
function applyReading(
  budget: BudgetState,
  input: {
    readonly result: GrantExchangeResult;
    readonly startedAt: MonotonicTime;
  },
): void {
  const { result, startedAt } = input;
  budget.readAt = startedAt;
  budget.budgetLeft = result.budgetLeft;
  budget.rowLimit = result.limit;
  budget.closed = result.closed;
  budget.holders = result.holders;
  budget.otherHolders = result.otherHolders;
  budget.otherTakes = result.otherTakes;
  budget.othersRate = result.othersRate;
}

/** Whether a request, or a peer, waits for tokens. */
function isUrgent(budget: BudgetState, now: MonotonicTime): boolean {
  return budget.waiters.length > 0 || budget.borrowerDemand.sum(now) > 0;
}

/**
 * Whether requests wait for loans at a VM that is not a holder. It leaves the
 * row to the holders until no peer is left to ask.
 */
function isBorrowing(budget: BudgetState): boolean {
  return !budget.isHolder && budget.loanRound !== undefined;
}

/** Plans an exchange only if it takes active tokens. */
function planRefill(account: EventAccount, input: ExchangeInput): EventAccount {
  const planned = planExchange(account, input);
  return planned.exchange?.take === undefined ? account : planned;
}

/**
 * Returns the tokens that no VM holds, as far as known. A raised limit that the
 * row doesn't have yet is included, so that a VM asks for the new tokens of a
 * spent budget; the exchange writes the limit to the row.
 */
function computeKnownBudgetLeft(budget: BudgetState): Tokens {
  const { budgetLeft, prepaid, rowLimit } = budget;
  if (budgetLeft === undefined) return prepaid;
  return isLimitRaised(budget) ? budgetLeft + prepaid - rowLimit : budgetLeft;
}
