/**
 * Exchanges with the table: what a VM takes of customers' budgets, gives back
 * and tells, one exchange at a time for each customer.
 */
import {
  type Accounts,
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

/** Part of the standby tokens until which a VM lives on what is in use. */
const BRIDGED_PART = 0.05;

/** Time that a refill takes at the longest while the table answers. */
const REFILL_TIME: Millis = 700;

/** Time from the first draw until it shows which customers draw here. */
const SETTLING_TIME: Millis = 3_000;

/** Says what an exchange is to do; the account has it when there is any. */
export type ExchangePlan = (
  account: EventAccount,
  input: ExchangeInput,
) => EventAccount;

/** What exchanges are planned from, and who is told of them. */
export interface ExchangeOptions {
  readonly accounts: Accounts;
  readonly standby: StandbyTokens;
  /** Returns the pause between two words of this VM. */
  computePresenceInterval(): Millis;
  /** Returns the number of VMs that share the table. */
  countVms(): number;
  /** Whether this VM keeps tokens of a customer for its region. */
  isHome(holding: Holding): boolean;
  /** Returns the usual size of a request of any customer; 0 before the first. */
  readUsualRequest(): Tokens;
  /** Returns when this VM's first request came. */
  readFirstDraw(): MonotonicTime | undefined;
  /** Is called when the table has answered about a customer. */
  onAnswer(holding: Holding): void;
}

/** Runs exchanges and takes their answers over. */
export class GrantExchanges {
  readonly #context: GatewayContext;
  readonly #options: ExchangeOptions;
  readonly #running = new Set<Promise<void>>();
  readonly #pace = new WritePace();
  #number = 0;
  /** When the table last answered; a new life expects it to. */
  #answeredAt: MonotonicTime;
  #isStopping = false;

  constructor(context: GatewayContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#answeredAt = context.clock.readMonotonic();
  }

  /** Whether the table has not answered for longer than an exchange takes. */
  get isTableAway(): boolean {
    const sinceAnswer = this.#context.clock.readMonotonic() - this.#answeredAt;
    // A VM that needs nothing of the table still tells it of its presence.
    return sinceAnswer >
      USUAL_EXCHANGE + this.#options.computePresenceInterval();
  }

  /** Records that the table has answered. */
  recordAnswer(): void {
    this.#answeredAt = this.#context.clock.readMonotonic();
  }

  /** Frees what earlier lives of this VM can't have used and ends the rest. */
  async endEarlierLives(
    holding: Holding,
    earlier: EarlierIncarnation | undefined,
  ): Promise<void> {
    const { vm, incarnation, clock, log } = this.#context;
    const operation = createEndEarlierIncarnations({
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

  /** Fills up and gives back, within this VM's share of the table's writes. */
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

  /** Starts an exchange unless one is under way; returns whether it did. */
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

  /** Returns every unreserved token to the table, for a planned stop. */
  async returnAll(holdings: Iterable<Holding>): Promise<void> {
    this.stop();
    await Promise.all([...this.#running]);
    for (const holding of holdings) this.start(holding, planLastExchange);
    await Promise.all([...this.#running]);
  }

  /** Fills nothing up any more. */
  stop(): void {
    this.#isStopping = true;
  }

  #createInput(holding: Holding): ExchangeInput {
    const { vm, incarnation, clock } = this.#context;
    const now = clock.readMonotonic();
    const need = holding.isNarrow
      ? chooseRequestToBorrowFor(holding.waiters)?.tokens ?? 0
      : sumWaiting(holding) + holding.borrowersNeed;
    const rate = holding.meter?.computeRate(now);
    return {
      now,
      wallTime: clock.readWall(),
      lean: BudgetPreference.TighterBudget,
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
      active: computeUnlockTime(BRIDGED_PART) +
        options.computePresenceInterval() + REFILL_TIME,
      usualRequest: options.readUsualRequest(),
      standby: holding.standby,
      isHome: options.isHome(holding),
    };
  }

  async #run(holding: Holding, exchange: GrantExchange): Promise<void> {
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
      held_standby: sumStandbySizes(holding.standby),
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

/** A raised limit is news to the row, so that what was spent may be had. */
function computeKnownLeft(holding: Holding): Tokens {
  const { budgetLeft, prepaid, rowLimit } = holding;
  if (budgetLeft === undefined) return prepaid;
  return isLimitRaised(holding) ? budgetLeft + prepaid - rowLimit : budgetLeft;
}
