/** The baseline policies that escrow by grants is compared with. */
import type { EventId, Millis, RowOperation, Tokens } from "../../core/mod.ts";
import {
  computeAccountRoom,
  createCloseGrant,
  createEventAccount,
  createTakeGrant,
  type EventAccount,
  formatBudgetKey,
  parseBudgetRow,
  receiveGrant,
  type Reservation,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import type {
  BudgetNode,
  BudgetPolicy,
  HeldTokens,
  HoldCallback,
  NodeOptions,
  SampleEvent,
} from "./budget_node.ts";

/** Longest time that a request waits for the store before it is refused. */
const MAX_STORE_WAIT: Millis = 3_000;

/** Minimum time between a VM's checks whether a limit was raised. */
const SHARE_CHECK_INTERVAL: Millis = 60_000;

/**
 * One store transaction reserves the upper bound of each request's cost, and a
 * second one settles it.
 */
export const TRANSACTION_POLICY: BudgetPolicy = {
  name: "transaction per request",
  usesHomes: false,
  createNode: (options) => new TransactionNode(options),
};

/** Each VM takes an equal share of an event's limit when it first needs it. */
export const SHARES_POLICY: BudgetPolicy = {
  name: "fixed equal shares",
  usesHomes: false,
  createNode: (options) => new SharesNode(options),
};

class TransactionNode implements BudgetNode {
  readonly #options: NodeOptions;
  #number = 0;

  constructor(options: NodeOptions) {
    this.#options = options;
  }

  reserve(event: SampleEvent, tokens: Tokens, onEnd: HoldCallback): void {
    const { vm, incarnation, writer, clock } = this.#options;
    const grantId = `${vm}/${incarnation}/${++this.#number}`;
    const operation = createTakeGrant({
      eventId: event.id,
      grantId,
      vm,
      incarnation,
      wanted: tokens,
      least: tokens,
      initialLimit: event.limit,
      wallTime: 0,
    });
    const giveUpAt = clock.readMonotonic() + MAX_STORE_WAIT;
    void writer.run(operation, { giveUpAt }).then((answer) => {
      const size = answer.map((result) => result.size).orDefault(0);
      const detail: RequestGrant = { grantId, initialLimit: event.limit };
      const held = { eventId: event.id, tokens, detail };
      onEnd(size === 0 ? undefined : held);
      if (answer.isLeft()) this.#close(held, 0);
    });
  }

  settle(held: HeldTokens, spent: Tokens): void {
    this.#close(held, spent);
  }

  receive(): void {}

  readRoom(): Tokens {
    return 0;
  }

  #close(held: HeldTokens, spent: Tokens): void {
    const { grantId, initialLimit } = held.detail as RequestGrant;
    const { eventId } = held;
    const close = { eventId, grantId, spent, loans: [], initialLimit };
    const operation = createCloseGrant(close);
    void this.#options.writer.run(operation, { giveUpAt: Infinity });
  }
}

/** The grant that reserves the bound of one request. */
interface RequestGrant {
  readonly grantId: string;
  readonly initialLimit: Tokens;
}

/** One VM's share of an event's limit. */
interface ShareState {
  account: EventAccount;
  /** Tokens taken from the budget so far. */
  taken: Tokens;
  isTaking: boolean;
  nextCheck: number;
  waiters: (() => void)[];
}

class SharesNode implements BudgetNode {
  readonly #options: NodeOptions;
  readonly #states = new Map<EventId, ShareState>();
  #number = 0;

  constructor(options: NodeOptions) {
    this.#options = options;
  }

  reserve(event: SampleEvent, tokens: Tokens, onEnd: HoldCallback): void {
    const state = this.#readState(event);
    const now = this.#options.clock.readMonotonic();
    let isPending = true;
    const end = (isLast: boolean) => {
      const held = isPending ? this.#tryReserve(event, tokens) : undefined;
      if (!isPending || (held === undefined && !isLast)) return;
      isPending = false;
      onEnd(held);
    };
    end(false);
    if (!isPending) return;
    if (!state.isTaking && now >= state.nextCheck) this.#take(event, state);
    if (!state.isTaking) return end(true);
    state.waiters.push(() => end(true));
    this.#options.schedule(MAX_STORE_WAIT, () => end(true));
  }

  settle(held: HeldTokens, spent: Tokens): void {
    const state = this.#states.get(held.eventId);
    if (state === undefined) return;
    state.account = settleReservation(state.account, {
      reservation: held.detail as Reservation,
      spent,
      now: this.#options.clock.readMonotonic(),
    });
  }

  receive(): void {}

  readRoom(eventId: EventId): Tokens {
    const state = this.#states.get(eventId);
    return state === undefined ? 0 : computeAccountRoom(state.account, 0);
  }

  #readState(event: SampleEvent): ShareState {
    const known = this.#states.get(event.id);
    if (known !== undefined) return known;
    const state = {
      account: createEventAccount(event.id),
      taken: 0,
      isTaking: false,
      nextCheck: 0,
      waiters: [],
    };
    this.#states.set(event.id, state);
    return state;
  }

  #tryReserve(event: SampleEvent, tokens: Tokens): HeldTokens | undefined {
    const state = this.#readState(event);
    const result = reserveTokens(state.account, { tokens, now: 0 });
    if (result.isLeft()) return undefined;
    const { account, reservation } = result.unsafeCoerce();
    state.account = account;
    return { eventId: event.id, tokens, detail: reservation };
  }

  /**
   * Takes this VM's share of the current limit, less what it has already taken.
   */
  #take(event: SampleEvent, state: ShareState): void {
    const { vm, incarnation, writer, vmCount, clock } = this.#options;
    state.isTaking = true;
    const grantId = `${vm}/${incarnation}/${++this.#number}`;
    const operation = createTakeShare(event, {
      grantId,
      vm,
      incarnation,
      computeSize: (limit) => Math.floor(limit / vmCount) - state.taken,
    });
    void writer.run(operation, { giveUpAt: Infinity }).then((answer) => {
      state.isTaking = false;
      state.nextCheck = clock.readMonotonic() + SHARE_CHECK_INTERVAL;
      const size = answer.orDefault(0);
      state.taken += size;
      if (size > 0) {
        const deadline = Infinity;
        const grant = { grantId, size, deadline };
        state.account = receiveGrant(state.account, grant);
      }
      for (const end of state.waiters.splice(0)) end();
    });
  }
}

/**
 * Creates an operation that takes a grant sized by the limit in the budget row.
 */
function createTakeShare(
  event: SampleEvent,
  input: {
    readonly grantId: string;
    readonly vm: string;
    readonly incarnation: string;
    readonly computeSize: (limit: Tokens) => Tokens;
  },
): RowOperation<Tokens> {
  const key = formatBudgetKey(event.id);
  return {
    id: input.grantId,
    keys: [key],
    decide(rows) {
      const value = rows.get(key)?.value;
      const limit = value === undefined
        ? event.limit
        : parseBudgetRow(value).unsafeCoerce().limit;
      const wanted = Math.max(0, input.computeSize(limit));
      const { vm, incarnation, grantId } = input;
      const take = createTakeGrant({
        eventId: event.id,
        grantId,
        vm,
        incarnation,
        wanted,
        least: 1,
        initialLimit: event.limit,
        wallTime: 0,
      });
      const { writes, result } = take.decide(rows);
      return { writes, result: result.size };
    },
  };
}
