/**
 * Budgets on this VM: reservations against grants in memory, and the grants'
 * traffic with the table.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  createCloseGrant,
  createEventAccount,
  createTakeGrant,
  dropGrant,
  type EventAccount,
  type Grant,
  planGrants,
  receiveGrant,
  type Reservation,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import {
  combineUndo,
  type CommandType,
  createCommand,
  createNotRun,
  type EventConfig,
  type EventId,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type SliceType,
  type Tokens,
  type Undo,
} from "../../core/mod.ts";
import { LogEvent } from "../event_log.ts";
import type { NodeContext } from "../node_context.ts";
import { type PeriodicProcess, startPeriodic } from "../processes.ts";

/** All accounts of this VM, by event. Changed in place, in handlers only. */
const ACCOUNTS: SliceType<Map<EventId, EventAccount>> = {
  name: "accounts",
  createInitial: () => new Map(),
};

/** Applies a change to one event's account and returns the change's result. */
type AccountChange = (account: EventAccount) => EventAccount;

const CHANGE_ACCOUNT: CommandType<
  { readonly eventId: EventId; readonly change: AccountChange },
  void
> = createCommand("escrow.change_account");

const BUDGET_SPENT_RETRY_AFTER: Millis = 30_000;
const UNREACHABLE_RETRY_AFTER: Millis = 2_000;

/** Longest wait for a grant within a request, in milliseconds. */
const MAX_GRANT_WAIT: Millis = 3_000;

/** What a VM asks its peers for when the table cannot give a grant. */
export type LoanSource = (
  eventId: EventId,
  tokens: Tokens,
) => Promise<boolean>;

/** Reserves and settles tokens. */
export class Escrow {
  readonly #context: NodeContext;
  readonly #taking = new Map<EventId, Promise<GrantAnswer>>();
  readonly #budgetLeft = new Map<EventId, Tokens>();
  readonly #configs = new Map<EventId, EventConfig>();
  #grantNumber = 0;

  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Registers the feature's command, dump and periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic: PeriodicProcess = startPeriodic({
      interval: settings.intervals.grantCheckMillis,
      random,
      run: () => this.#closeIdleGrants(),
      reportError: (error) =>
        log.error(LogEvent.ProcessFailed, {
          process: "escrow",
          reason: String(error),
        }),
    });
    return combineUndo([
      kernel.registerCommand(CHANGE_ACCOUNT, (payload, update) => {
        const accounts = update.read(ACCOUNTS);
        const { eventId, change } = payload;
        const before = accounts.get(eventId) ?? createEventAccount(eventId);
        accounts.set(eventId, change(before));
      }),
      kernel.registerDump("accounts", () => [...this.#readAccounts().values()]),
      periodic.stop,
    ]);
  }

  /** Returns the account of an event. */
  readAccount(eventId: EventId): EventAccount {
    return this.#readAccounts().get(eventId) ?? createEventAccount(eventId);
  }

  /** Reserves tokens, with a new grant from the table if need be. */
  async reserve(
    event: EventConfig,
    input: { readonly tokens: Tokens; readonly deadline: MonotonicTime },
  ): Promise<Either<Refusal, Reservation>> {
    const { clock } = this.#context;
    if (input.tokens === 0) return Right(createEmptyReservation(event.id));
    this.#configs.set(event.id, event);
    const giveUpAt = Math.min(
      input.deadline,
      clock.readMonotonic() + MAX_GRANT_WAIT,
    );
    for (;;) {
      const reserved = this.#tryReserve(event.id, input.tokens);
      if (reserved !== undefined) return Right(reserved);
      if (clock.readMonotonic() >= giveUpAt) {
        return Left(createUnreachableRefusal());
      }
      const answer = await this.#takeGrant(event, {
        need: input.tokens,
        giveUpAt,
      });
      if (answer === GrantAnswer.Spent) return Left(createSpentRefusal());
      if (answer === GrantAnswer.Unreachable) {
        return Left(createUnreachableRefusal());
      }
    }
  }

  /** Settles a reservation at the tokens that were really used. */
  settle(reservation: Reservation, spent: Tokens): void {
    const now = this.#context.clock.readMonotonic();
    this.#change(
      reservation.eventId,
      (account) => settleReservation(account, { reservation, spent, now }),
    );
    this.#context.metrics.tokensSpent.inc(spent);
  }

  /** Closes every grant that nothing is reserved from, for a planned stop. */
  async returnGrants(): Promise<void> {
    await Promise.all(
      [...this.#readAccounts().values()].map((account) =>
        this.#closeGrants(
          account,
          account.grants.filter((grant) => grant.reserved === 0),
        )
      ),
    );
  }

  #readAccounts(): Map<EventId, EventAccount> {
    return this.#context.kernel.read(ACCOUNTS);
  }

  #change(eventId: EventId, change: AccountChange): void {
    this.#context.kernel.dispatch(CHANGE_ACCOUNT, { eventId, change });
  }

  #tryReserve(eventId: EventId, tokens: Tokens): Reservation | undefined {
    const now = this.#context.clock.readMonotonic();
    let reservation: Reservation | undefined;
    this.#change(
      eventId,
      (account) =>
        reserveTokens(account, { tokens, now }).caseOf({
          Left: () => account,
          Right: (result) => {
            reservation = result.reservation;
            return result.account;
          },
        }),
    );
    return reservation;
  }

  /** Takes one grant for an event at a time; others wait for the same one. */
  #takeGrant(
    event: EventConfig,
    input: { readonly need: Tokens; readonly giveUpAt: MonotonicTime },
  ): Promise<GrantAnswer> {
    const known = this.#taking.get(event.id);
    if (known !== undefined) return known;
    const taking = this.#askForGrant(event, input)
      .finally(() => this.#taking.delete(event.id));
    this.#taking.set(event.id, taking);
    return taking;
  }

  async #askForGrant(
    event: EventConfig,
    input: { readonly need: Tokens; readonly giveUpAt: MonotonicTime },
  ): Promise<GrantAnswer> {
    const { settings, clock, writer, incarnation, log, metrics } =
      this.#context;
    const account = this.readAccount(event.id);
    const now = clock.readMonotonic();
    const budgetLeft = this.#budgetLeft.get(event.id);
    const plan = planGrants(account, {
      now,
      lean: event.lean,
      need: input.need,
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
    });
    if (plan.take === undefined) return GrantAnswer.Unreachable;
    const grantId = `${settings.vm}/${incarnation}/${++this.#grantNumber}`;
    const operation = createTakeGrant({
      eventId: event.id,
      grantId,
      vm: settings.vm,
      incarnation,
      ...plan.take,
      initialLimit: event.budgetTokens,
      wallTime: clock.readWall(),
    });
    // The table may grant after this VM gives up, so the operation itself is
    // never abandoned: a late grant joins the account when it is known.
    const taken = writer.run(operation, { giveUpAt: Infinity })
      .then((answer) => {
        const result = answer.toMaybe().extract();
        if (result === undefined) return GrantAnswer.Unreachable;
        this.#budgetLeft.set(event.id, result.budgetLeft);
        if (result.size === 0) return GrantAnswer.Spent;
        const deadline = now + settings.intervals.grantLifeMillis;
        this.#change(
          event.id,
          (before) =>
            receiveGrant(before, { grantId, size: result.size, deadline }),
        );
        metrics.grantsTaken.inc();
        log.info(LogEvent.GrantTaken, {
          event_id: event.id,
          grant: grantId,
          size: result.size,
        });
        return GrantAnswer.Taken;
      });
    return await Promise.race([taken, this.#waitUntil(input.giveUpAt)]);
  }

  #waitUntil(time: MonotonicTime): Promise<GrantAnswer> {
    const wait = Math.max(0, time - this.#context.clock.readMonotonic());
    return new Promise((resolve) => {
      setTimeout(() => resolve(GrantAnswer.Unreachable), wait).unref();
    });
  }

  async #closeIdleGrants(): Promise<void> {
    const now = this.#context.clock.readMonotonic();
    for (const account of this.#readAccounts().values()) {
      const event = this.#configs.get(account.eventId);
      if (event === undefined) continue;
      const plan = planGrants(account, { now, lean: event.lean, need: 0 });
      await this.#closeGrants(account, plan.close);
    }
  }

  async #closeGrants(
    account: EventAccount,
    grants: readonly Grant[],
  ): Promise<void> {
    await Promise.all(
      grants.map((grant) => this.#closeGrant(account.eventId, grant)),
    );
  }

  /** Takes the grant out of use first, so that nothing is spent after closing. */
  async #closeGrant(eventId: EventId, grant: Grant): Promise<void> {
    const { writer, log } = this.#context;
    this.#change(eventId, (account) => dropGrant(account, grant.id));
    const operation = createCloseGrant({
      eventId,
      grantId: grant.id,
      spent: grant.spent,
      initialLimit: this.#configs.get(eventId)?.budgetTokens ?? 0,
    });
    await writer.run(operation, { giveUpAt: Infinity });
    log.info(LogEvent.GrantClosed, {
      event_id: eventId,
      grant: grant.id,
      spent: grant.spent,
      size: grant.size,
    });
  }
}

/** Holds nothing; settling it changes nothing. */
function createEmptyReservation(eventId: EventId): Reservation {
  return { eventId, grantId: "", tokens: 0 };
}

enum GrantAnswer {
  Taken = "taken",
  Spent = "spent",
  Unreachable = "unreachable",
}

function createSpentRefusal(): Refusal {
  return createNotRun(
    RefusalKind.BudgetSpent,
    "The budget of this event does not cover this request any more. Nothing was done. Please ask the person who looks after the event to add to it.",
    { retryAfter: BUDGET_SPENT_RETRY_AFTER },
  );
}

function createUnreachableRefusal(): Refusal {
  return createNotRun(
    RefusalKind.BudgetUnreachable,
    "We could not check the budget of this event just now. Nothing was done. Please try again in a moment.",
    { retryAfter: UNREACHABLE_RETRY_AFTER },
  );
}
