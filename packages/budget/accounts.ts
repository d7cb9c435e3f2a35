/**
 * Keeps the accounts of one VM in a kernel slice and changes them by a command.
 */
import {
  type Clock,
  type CommandType,
  createCommand,
  type EventId,
  type Kernel,
  type SliceType,
  type Tokens,
  type Undo,
} from "../core/mod.ts";
import {
  computeAccountRoom,
  createEventAccount,
  type EventAccount,
  type Reservation,
} from "./account.ts";
import { reserveTokens } from "./commands/reserve_tokens.ts";

/**
 * All accounts of a VM by event. Only command handlers change the map, in
 * place.
 */
const ACCOUNTS: SliceType<Map<EventId, EventAccount>> = {
  name: "accounts",
  createInitial: () => new Map(),
};

/** Computes an account's new state from its present one. */
export type AccountChange = (account: EventAccount) => EventAccount;

const CHANGE_ACCOUNT: CommandType<
  { readonly eventId: EventId; readonly change: AccountChange },
  EventAccount
> = createCommand("accounts.change");

/**
 * Reads and changes accounts. An account that was never changed holds no grant.
 */
export class Accounts {
  readonly #kernel: Kernel;
  readonly #clock: Clock;

  constructor(
    dependencies: { readonly kernel: Kernel; readonly clock: Clock },
  ) {
    this.#kernel = dependencies.kernel;
    this.#clock = dependencies.clock;
  }

  /** Registers the command that changes an account. */
  register(): Undo {
    return this.#kernel.registerCommand(
      CHANGE_ACCOUNT,
      ({ eventId, change }, update) => {
        const accounts = update.read(ACCOUNTS);
        const before = accounts.get(eventId) ?? createEventAccount(eventId);
        const after = change(before);
        accounts.set(eventId, after);
        return after;
      },
    );
  }

  /** Returns the account of an event. */
  read(eventId: EventId): EventAccount {
    return this.#kernel.read(ACCOUNTS).get(eventId) ??
      createEventAccount(eventId);
  }

  /** Returns all accounts that were changed at least once. */
  list(): Iterable<EventAccount> {
    return this.#kernel.read(ACCOUNTS).values();
  }

  /** Returns the tokens of an event that can be reserved now. */
  computeRoom(eventId: EventId): Tokens {
    return computeAccountRoom(this.read(eventId), this.#clock.readMonotonic());
  }

  /**
   * Applies a change to the account of an event and returns the new account.
   */
  change(eventId: EventId, change: AccountChange): EventAccount {
    return this.#kernel.dispatch(CHANGE_ACCOUNT, { eventId, change });
  }

  /** Reserves available tokens; returns undefined when there are too few. */
  reserve(eventId: EventId, tokens: Tokens): Reservation | undefined {
    const now = this.#clock.readMonotonic();
    let reservation: Reservation | undefined;
    this.change(
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
}
