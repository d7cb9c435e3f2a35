/**
 * The budgets of one VM in virtual time, with the decision functions that the
 * daemon uses. VMs do not lend tokens to each other here.
 */
import {
  AccountSchedule,
  computeNextDue,
  createEventAccount,
  createGrantExchange,
  type EventAccount,
  GRANT_TERM,
  planExchange,
  receiveExchange,
  type Reservation,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import {
  BudgetPreference,
  type EventId,
  type Millis,
  type MonotonicTime,
  type Tokens,
} from "../../core/mod.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";
import type { StoreClient } from "./store_client.ts";

/** Environment of the escrow on its VM. */
export interface TrafficEscrowOptions {
  readonly vm: string;
  readonly clock: VirtualClock;
  readonly storeClient: StoreClient;
  /** Limit of each event's budget. */
  readonly budgetTokens: Tokens;
  /** Called with the time for which a served request waited for its tokens. */
  readonly recordWait: (wait: Millis) => void;
}

/** A request that waits for tokens. */
interface Waiter {
  readonly tokens: Tokens;
  readonly since: MonotonicTime;
  readonly resolve: (reservation: Reservation | undefined) => void;
}

/** The account of one event, and the requests that wait for it. */
interface EventQueue {
  readonly eventId: EventId;
  account: EventAccount;
  waiters: Waiter[];
  budgetLeft?: Tokens;
}

/**
 * Interval between checks for due accounts, and delay before a failed exchange
 * is run again.
 */
const DUE_CHECK_INTERVAL: Millis = 500;
/** Longest time that a request waits for tokens. */
const MAX_WAIT: Millis = 3_000;
/** Maximum number of due accounts that are processed in one check. */
const MAX_DUE_PER_CHECK = 1_000;

/** Reserves and settles tokens, and exchanges grants with the store. */
export class TrafficEscrow {
  readonly #options: TrafficEscrowOptions;
  readonly #queues = new Map<EventId, EventQueue>();
  readonly #schedule = new AccountSchedule();
  #exchanges = 0;

  constructor(options: TrafficEscrowOptions) {
    this.#options = options;
    options.clock.scheduleEvery(
      DUE_CHECK_INTERVAL,
      () => this.#startDueExchanges(),
    );
  }

  /** Returns the number of events that have an account on this VM. */
  countAccounts(): number {
    return this.#queues.size;
  }

  /**
   * Reserves tokens, waiting for an exchange if necessary. Calls `resolve` with
   * undefined when no reservation was possible in time.
   */
  reserve(
    eventId: EventId,
    tokens: Tokens,
    resolve: (reservation: Reservation | undefined) => void,
  ): void {
    const queue = this.#readQueue(eventId);
    const { clock } = this.#options;
    const waiter = { tokens, since: clock.readMonotonic(), resolve };
    if (queue.waiters.length === 0 && this.#serve(queue, waiter)) {
      this.#scheduleNextDue(queue);
      return;
    }
    queue.waiters.push(waiter);
    clock.schedule(MAX_WAIT, () => this.#giveUp(queue, waiter));
    this.#startExchange(queue);
  }

  /** Settles a reservation with the tokens that were spent. */
  settle(reservation: Reservation, spent: Tokens): void {
    const queue = this.#readQueue(reservation.eventId);
    const now = this.#options.clock.readMonotonic();
    queue.account = settleReservation(queue.account, {
      reservation,
      spent,
      now,
    });
    this.#scheduleNextDue(queue);
  }

  #readQueue(eventId: EventId): EventQueue {
    const known = this.#queues.get(eventId);
    if (known !== undefined) return known;
    const account = createEventAccount(eventId);
    const queue: EventQueue = { eventId, account, waiters: [] };
    this.#queues.set(eventId, queue);
    return queue;
  }

  #serve(queue: EventQueue, waiter: Waiter): boolean {
    const now = this.#options.clock.readMonotonic();
    return reserveTokens(queue.account, { tokens: waiter.tokens, now }).caseOf({
      Left: () => false,
      Right: ({ account, reservation }) => {
        queue.account = account;
        this.#options.recordWait(now - waiter.since);
        waiter.resolve(reservation);
        return true;
      },
    });
  }

  #giveUp(queue: EventQueue, waiter: Waiter): void {
    if (!queue.waiters.includes(waiter)) return;
    queue.waiters = queue.waiters.filter((each) => each !== waiter);
    waiter.resolve(undefined);
  }

  #startExchange(queue: EventQueue): void {
    if (queue.account.exchange !== undefined) return;
    const { clock, vm, budgetTokens } = this.#options;
    const { budgetLeft } = queue;
    queue.account = planExchange(queue.account, {
      now: clock.readMonotonic(),
      wallTime: clock.readWall(),
      lean: BudgetPreference.FewerRefusals,
      need: queue.waiters.reduce((sum, each) => sum + each.tokens, 0),
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
      grantId: `${vm}/1/${++this.#exchanges}`,
      holder: { vm, incarnation: "1" },
      initialLimit: budgetTokens,
    });
    if (queue.account.exchange !== undefined) void this.#runExchange(queue);
  }

  async #runExchange(queue: EventQueue): Promise<void> {
    const { clock, storeClient: storeClient } = this.#options;
    const deadline = clock.readMonotonic() + GRANT_TERM;
    const operation = createGrantExchange(queue.account.exchange!);
    const answer = await storeClient.run(operation, { giveUpAt: Infinity });
    if (answer.isLeft()) {
      // The writer's queue is full and nothing was written, so the exchange is
      // run again.
      clock.schedule(DUE_CHECK_INTERVAL, () => void this.#runExchange(queue));
      return;
    }
    const result = answer.unsafeCoerce();
    queue.budgetLeft = result.budgetLeft;
    queue.account = receiveExchange(queue.account, { result, deadline });
    while (
      queue.waiters[0] !== undefined && this.#serve(queue, queue.waiters[0])
    ) {
      queue.waiters.shift();
    }
    this.#scheduleNextDue(queue);
    if (queue.waiters.length > 0) this.#startExchange(queue);
  }

  #scheduleNextDue(queue: EventQueue): void {
    const { budgetLeft } = queue;
    const due = computeNextDue(queue.account, {
      now: this.#options.clock.readMonotonic(),
      lean: BudgetPreference.FewerRefusals,
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
    });
    this.#schedule.change(queue.eventId, due);
  }

  #startDueExchanges(): void {
    const now = this.#options.clock.readMonotonic();
    for (const eventId of this.#schedule.takeDue(now, MAX_DUE_PER_CHECK)) {
      const queue = this.#readQueue(eventId);
      this.#startExchange(queue);
      if (queue.account.exchange === undefined) this.#scheduleNextDue(queue);
    }
  }
}
