/**
 * Exchanges with the store: each one updates a customer's budget row with the
 * tokens that this VM takes, gives back and has spent. At most one exchange per
 * customer is in progress.
 */
import {
  type Accounts,
  chooseBorrower,
  computeAccountRoom,
  computeOpeningTime,
  computeReserved,
  createEndEarlierLives,
  createGrantExchange,
  type EarlierLife,
  type EventAccount,
  type ExchangeInput,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  planExchange,
  planHolding,
  planLastExchange,
  receiveExchange,
  sumSizes,
} from "../../../budget/mod.ts";
import {
  BudgetLean,
  type Millis,
  type MonotonicTime,
  type Tokens,
} from "../../../core/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import {
  type Holding,
  isLimitRaised,
  sumWaiting,
  USUAL_EXCHANGE,
} from "./holding.ts";
import type { StandbyTokens } from "./standby_tokens.ts";
import { WritePace } from "./write_pace.ts";

/**
 * In an outage the active tokens must last until this fraction of the standby
 * tokens is unlocked.
 */
const BRIDGED_PART = 0.05;

/** Longest time that a refill takes while the store is available. */
const REFILL_TIME: Millis = 700;

/**
 * Time from this VM's first request until a customer without requests counts as
 * having no traffic here.
 */
const SETTLING_TIME: Millis = 3_000;

/**
 * Plans an exchange and returns the account with the exchange in it; an account
 * without one means that there is nothing to exchange.
 */
export type ExchangePlan = (
  account: EventAccount,
  input: ExchangeInput,
) => EventAccount;

/** What exchanges are planned from, and the listener of their answers. */
export interface ExchangeOptions {
  readonly accounts: Accounts;
  readonly standby: StandbyTokens;
  /** Returns the interval between two presence updates of this VM. */
  computePresenceInterval(): Millis;
  /** Returns the number of VMs that share the store. */
  countVms(): number;
  /** Whether this VM is one of those that hold the budget for their region. */
  isHome(holding: Holding): boolean;
  /**
   * Returns the moving average of the tokens reserved per request, over all
   * customers; 0 before the first.
   */
  readUsualRequest(): Tokens;
  /** Returns when this VM received its first request; undefined before it. */
  readFirstDraw(): MonotonicTime | undefined;
  /** Called after an answer of the store was applied to a budget. */
  onAnswer(holding: Holding): void;
}

/** Runs exchanges and applies their answers. */
export class GrantExchanges {
  readonly #context: GatewayContext;
  readonly #options: ExchangeOptions;
  readonly #running = new Set<Promise<void>>();
  readonly #pace = new WritePace();
  #number = 0;
  /** When the store last answered; initially when this object was created. */
  #answeredAt: MonotonicTime;
  #isStopping = false;

  constructor(context: GatewayContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#answeredAt = context.clock.readMonotonic();
  }

  /** Whether the store is unavailable: its latest answer is overdue. */
  get isTableAway(): boolean {
    const sinceAnswer = this.#context.clock.readMonotonic() - this.#answeredAt;
    // Presence updates get answers even while no exchange is needed.
    return sinceAnswer >
      USUAL_EXCHANGE + this.#options.computePresenceInterval();
  }

  /** Records that the store has answered. */
  recordAnswer(): void {
    this.#answeredAt = this.#context.clock.readMonotonic();
  }

  /**
   * Ends the grants of this VM's earlier incarnations in a budget's row: frees
   * the standby tokens that they can't have used and writes off the rest.
   */
  async endEarlierLives(
    holding: Holding,
    earlier: EarlierLife | undefined,
  ): Promise<void> {
    const { vm, incarnation, clock, log } = this.#context;
    const operation = createEndEarlierLives({
      eventId: holding.customer,
      vm,
      incarnation,
      earlier,
      initialLimit: holding.prepaid,
      wallTime: clock.readWall(),
    });
    const answer = await holding.writer.run(operation, { giveUpAt: Infinity });
    answer.ifRight(({ freed, writtenOff, othersRate }) => {
      holding.othersRate = othersRate;
      holding.hasJoined = true;
      this.start(holding, planExchange);
      if (freed + writtenOff === 0) return;
      log.warn(LogEvent.GrantWrittenOff, {
        customer: holding.customer,
        written_off: writtenOff,
        freed,
        life: earlier?.incarnation,
      });
    });
  }

  /**
   * Starts the exchanges that budgets need to reach their planned holdings,
   * within this VM's share of the store's writes. The budget whose last
   * exchange is the longest ago comes first.
   */
  visit(holdings: Iterable<Holding>): void {
    if (this.#isStopping) return;
    const { clock, settings } = this.#context;
    const { writesPerSecond } = settings.store;
    const vms = this.#options.countVms();
    this.#pace.earn(clock.readMonotonic(), { vms, writesPerSecond });
    const joined = [...holdings]
      .filter((each) => each.hasJoined)
      .sort((left, right) => left.askedAt - right.askedAt);
    for (const holding of joined) {
      if (!this.#pace.hasRoom) return;
      if (this.start(holding, planExchange)) this.#pace.take();
    }
  }

  /**
   * Starts an exchange if none is in progress and the plan has one; returns
   * whether it did.
   */
  start(holding: Holding, plan: ExchangePlan): boolean {
    if (holding.exchanging) return false;
    const input = this.#createInput(holding);
    const account = this.#options.accounts.change(
      holding.customer,
      (before) => plan(before, input),
    );
    if (account.exchange === undefined) return false;
    this.#options.standby.settleExchange(holding, account.exchange);
    holding.exchanging = true;
    holding.askedAt = this.#context.clock.readMonotonic();
    const running = this.#run(holding, account.exchange);
    this.#running.add(running);
    void running.finally(() => this.#running.delete(running));
    return true;
  }

  /** Returns every unreserved token to the store, for a planned stop. */
  async returnAll(holdings: Iterable<Holding>): Promise<void> {
    this.stop();
    await Promise.all([...this.#running]);
    for (const holding of holdings) this.start(holding, planLastExchange);
    await Promise.all([...this.#running]);
  }

  /** Stops periodic refills and reports a spending rate of 0 from now on. */
  stop(): void {
    this.#isStopping = true;
  }

  #createInput(holding: Holding): ExchangeInput {
    const { vm, incarnation, clock } = this.#context;
    const now = clock.readMonotonic();
    const need = holding.isNarrow
      ? chooseBorrower(holding.waiters)?.tokens ?? 0
      : sumWaiting(holding) + holding.borrowersNeed;
    const rate = holding.meter?.computeRate(now);
    return {
      now,
      wallTime: clock.readWall(),
      lean: BudgetLean.TighterBudget,
      need,
      grantId: `${vm}/${incarnation}/${++this.#number}`,
      holder: { vm, incarnation },
      initialLimit: holding.prepaid,
      raisesLimit: true,
      drawRate: this.#isStopping ? 0 : Math.round(rate ?? 0),
      usedStandby: holding.opening.map((each) => each.grantId),
      heldStandby: holding.standby.map((each) => each.grantId),
      plan: (account) =>
        planHolding(account, {
          ...this.#createHoldingInput(holding),
          now,
          need,
          ...(rate === undefined ? {} : { rate }),
        }),
    };
  }

  #createHoldingInput(holding: Holding) {
    const { clock, settings } = this.#context;
    const options = this.#options;
    const now = clock.readMonotonic();
    const firstDraw = options.readFirstDraw() ?? now;
    return {
      budgetLeft: computeKnownLeft(holding),
      holders: holding.holders,
      isTrafficOn: now - firstDraw > SETTLING_TIME,
      othersRate: holding.othersRate,
      offline: settings.budgets.offlineMillis,
      active: computeOpeningTime(BRIDGED_PART) +
        options.computePresenceInterval() + REFILL_TIME,
      usualRequest: options.readUsualRequest(),
      standby: holding.standby,
      isHome: options.isHome(holding),
    };
  }

  async #run(holding: Holding, exchange: GrantExchange): Promise<void> {
    const { clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    // The store may still apply the exchange at any later time, so it is
    // retried until its outcome is known.
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
    const { accounts, standby, onAnswer } = this.#options;
    this.recordAnswer();
    holding.budgetLeft = result.budgetLeft;
    holding.rowLimit = result.limit;
    holding.closed = result.closed;
    holding.holders = result.holders;
    holding.otherHolders = result.otherHolders;
    holding.othersRate = result.othersRate;
    holding.isNarrow = exchange.take !== undefined && result.size === 0;
    standby.receiveExchange(holding, input);
    accounts.change(
      holding.customer,
      (account) =>
        receiveExchange(account, { result, deadline: askedAt + GRANT_TERM }),
    );
    this.#logAnswer(holding, { exchange, result });
    onAnswer(holding);
  }

  #logAnswer(
    holding: Holding,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
    },
  ): void {
    const { exchange, result } = input;
    const { log, metrics, clock } = this.#context;
    if (result.size > 0) metrics.grantsTaken.inc();
    const account = this.#options.accounts.read(holding.customer);
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
}

/**
 * Returns the tokens that no VM holds, as far as known. A raised limit that the
 * row doesn't have yet is included, so that a VM asks for the new tokens of a
 * spent budget; the exchange writes the limit to the row.
 */
function computeKnownLeft(holding: Holding): Tokens {
  const { budgetLeft, prepaid, rowLimit } = holding;
  if (budgetLeft === undefined) return prepaid;
  return isLimitRaised(holding) ? budgetLeft + prepaid - rowLimit : budgetLeft;
}
