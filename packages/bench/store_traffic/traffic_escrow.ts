/** One VM's budgets in virtual time, on the decisions that the daemon uses. */
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
import type { StoreFace } from "./store_layout.ts";

/** What the escrow needs of its VM. */
export interface TrafficEscrowOptions {
  readonly vm: string;
  readonly clock: VirtualClock;
  readonly face: StoreFace;
  readonly budgetTokens: Tokens;
  /** Hears how long each request waited for its tokens. */
  readonly recordWait: (wait: Millis) => void;
}

interface Waiter {
  readonly tokens: Tokens;
  readonly since: MonotonicTime;
  readonly resolve: (reservation: Reservation | undefined) => void;
}

interface EventDesk {
  readonly eventId: EventId;
  account: EventAccount;
  waiters: Waiter[];
  budgetLeft?: Tokens;
}

const CHECK_INTERVAL: Millis = 500;
const MAX_WAIT: Millis = 3_000;
const MAX_DUE = 1_000;

/** Reserves and settles, and talks to the table about grants. */
export class TrafficEscrow {
  readonly #options: TrafficEscrowOptions;
  readonly #desks = new Map<EventId, EventDesk>();
  readonly #schedule = new AccountSchedule();
  #exchanges = 0;

  constructor(options: TrafficEscrowOptions) {
    this.#options = options;
    options.clock.scheduleEvery(CHECK_INTERVAL, () => this.#visitDue());
  }

  /** Returns the number of accounts held. */
  countAccounts(): number {
    return this.#desks.size;
  }

  /** Calls back with a reservation, or undefined when none came in time. */
  reserve(
    eventId: EventId,
    tokens: Tokens,
    resolve: (reservation: Reservation | undefined) => void,
  ): void {
    const desk = this.#readDesk(eventId);
    const { clock } = this.#options;
    const waiter = { tokens, since: clock.readMonotonic(), resolve };
    if (desk.waiters.length === 0 && this.#serve(desk, waiter)) {
      this.#scheduleVisit(desk);
      return;
    }
    desk.waiters.push(waiter);
    clock.schedule(MAX_WAIT, () => this.#giveUp(desk, waiter));
    this.#startExchange(desk);
  }

  /** Settles a reservation. */
  settle(reservation: Reservation, spent: Tokens): void {
    const desk = this.#readDesk(reservation.eventId);
    const now = this.#options.clock.readMonotonic();
    desk.account = settleReservation(desk.account, { reservation, spent, now });
    this.#scheduleVisit(desk);
  }

  #readDesk(eventId: EventId): EventDesk {
    const known = this.#desks.get(eventId);
    if (known !== undefined) return known;
    const account = createEventAccount(eventId);
    const desk: EventDesk = { eventId, account, waiters: [] };
    this.#desks.set(eventId, desk);
    return desk;
  }

  #serve(desk: EventDesk, waiter: Waiter): boolean {
    const now = this.#options.clock.readMonotonic();
    return reserveTokens(desk.account, { tokens: waiter.tokens, now }).caseOf({
      Left: () => false,
      Right: ({ account, reservation }) => {
        desk.account = account;
        this.#options.recordWait(now - waiter.since);
        waiter.resolve(reservation);
        return true;
      },
    });
  }

  #giveUp(desk: EventDesk, waiter: Waiter): void {
    if (!desk.waiters.includes(waiter)) return;
    desk.waiters = desk.waiters.filter((each) => each !== waiter);
    waiter.resolve(undefined);
  }

  #startExchange(desk: EventDesk): void {
    if (desk.account.exchange !== undefined) return;
    const { clock, vm, budgetTokens } = this.#options;
    const { budgetLeft } = desk;
    desk.account = planExchange(desk.account, {
      now: clock.readMonotonic(),
      wallTime: clock.readWall(),
      lean: BudgetPreference.FewerRefusals,
      need: desk.waiters.reduce((sum, each) => sum + each.tokens, 0),
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
      grantId: `${vm}/1/${++this.#exchanges}`,
      holder: { vm, incarnation: "1" },
      initialLimit: budgetTokens,
    });
    if (desk.account.exchange !== undefined) void this.#runExchange(desk);
  }

  async #runExchange(desk: EventDesk): Promise<void> {
    const { clock, face } = this.#options;
    const deadline = clock.readMonotonic() + GRANT_TERM;
    const operation = createGrantExchange(desk.account.exchange!);
    const answer = await face.run(operation, { giveUpAt: Infinity });
    if (answer.isLeft()) {
      // The writer's queue is full: nothing was done, so it is run again.
      clock.schedule(CHECK_INTERVAL, () => void this.#runExchange(desk));
      return;
    }
    const result = answer.unsafeCoerce();
    desk.budgetLeft = result.budgetLeft;
    desk.account = receiveExchange(desk.account, { result, deadline });
    while (
      desk.waiters[0] !== undefined && this.#serve(desk, desk.waiters[0])
    ) {
      desk.waiters.shift();
    }
    this.#scheduleVisit(desk);
    if (desk.waiters.length > 0) this.#startExchange(desk);
  }

  #scheduleVisit(desk: EventDesk): void {
    const { budgetLeft } = desk;
    const due = computeNextDue(desk.account, {
      now: this.#options.clock.readMonotonic(),
      lean: BudgetPreference.FewerRefusals,
      ...(budgetLeft === undefined ? {} : { budgetLeft }),
    });
    this.#schedule.change(desk.eventId, due);
  }

  #visitDue(): void {
    const now = this.#options.clock.readMonotonic();
    for (const eventId of this.#schedule.takeDue(now, MAX_DUE)) {
      const desk = this.#readDesk(eventId);
      this.#startExchange(desk);
      if (desk.account.exchange === undefined) this.#scheduleVisit(desk);
    }
  }
}
