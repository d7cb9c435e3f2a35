/**
 * Escrow by grants as the daemon does it: one exchange at a time for each
 * event, requests that wait in order, and loans when the table is slow or empty.
 */
import {
  type EventId,
  type Millis,
  type MonotonicTime,
  type Tokens,
  type VmId,
} from "../../core/mod.ts";
import {
  AccountSchedule,
  chooseRequestToBorrowFor,
  computeAccountRoom,
  computeNextDue,
  computeReserved,
  createEventAccount,
  createGrantExchange,
  type EventAccount,
  GRANT_TERM,
  type GrantExchangeResult,
  type GrantSizing,
  lendTokens,
  listServable,
  listUnservable,
  type LoanAnswer,
  type LoanRequest,
  planExchange,
  planLoans,
  receiveExchange,
  receiveLoan,
  recordLoanRequest,
  type Reservation,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import type {
  BudgetNode,
  BudgetPolicy,
  HeldTokens,
  HoldSink,
  NodeOptions,
  SampleEvent,
} from "./budget_node.ts";

/** Longest wait of a request for tokens. */
const MAX_TOKEN_WAIT: Millis = 3_000;

/** How long the table may take before peers are asked as well. */
const LOAN_DELAY: Millis = 250;

/** How often due accounts are looked at. */
const VISIT_INTERVAL: Millis = 1_000;

/** Time between two looks at the loans of a queue that waits. */
const LOAN_INTERVAL: Millis = 100;

/** How long a peer that had nothing to lend is not asked again. */
const REFUSAL_TIME: Millis = 250;

/** Loans are asked for in multiples of what is missing, so that they are few. */
const LOAN_FACTOR = 4;

/** What experiments vary. */
export interface EscrowOptions {
  readonly name: string;
  /** Replaces the sizing of the event's lean. */
  readonly sizing?: GrantSizing;
  /** Whether VMs lend to each other. */
  readonly lends: boolean;
}

/** The policy of the product. */
export const ESCROW_POLICY = createEscrowPolicy({
  name: "escrow by grants",
  lends: true,
});

/** Returns escrow with some of its parts varied. */
export function createEscrowPolicy(options: EscrowOptions): BudgetPolicy {
  return {
    name: options.name,
    usesHomes: true,
    createNode: (node) => new EscrowNode(node, options),
  };
}

interface Waiter {
  readonly tokens: Tokens;
  readonly onEnd: HoldSink;
}

interface EventQueue {
  readonly event: SampleEvent;
  account: EventAccount;
  waiters: Waiter[];
  budgetLeft?: Tokens;
  isExchanging: boolean;
  isNarrowed: boolean;
  isBorrowing: boolean;
  /** True when the table said that it cannot cover what waits. */
  isShort: boolean;
  /** When each peer last had nothing to lend. */
  readonly refusedAt: Map<VmId, MonotonicTime>;
  /** Most tokens that requests in progress at one peer hold, as last heard. */
  heldByPeers: Tokens;
  /** Peers that held tokens of the event when last heard. */
  readonly lenders: Set<VmId>;
  /** True from when loans were first needed until nobody waits. */
  isScarce: boolean;
  /** When the open exchange was sent. */
  askedAt: MonotonicTime;
}

type Message =
  | { readonly eventId: EventId; readonly request: LoanRequest }
  | { readonly eventId: EventId; readonly answer: LoanAnswer };

class EscrowNode implements BudgetNode {
  readonly #node: NodeOptions;
  readonly #options: EscrowOptions;
  readonly #queues = new Map<EventId, EventQueue>();
  readonly #schedule = new AccountSchedule();
  #number = 0;

  constructor(node: NodeOptions, options: EscrowOptions) {
    this.#node = node;
    this.#options = options;
    this.#visitDue();
  }

  reserve(event: SampleEvent, tokens: Tokens, onEnd: HoldSink): void {
    const queue = this.#readQueue(event);
    const mayTry = queue.waiters.length === 0 || queue.isScarce;
    const held = mayTry ? this.#tryReserve(queue, tokens) : undefined;
    if (held !== undefined) {
      this.#scheduleVisit(queue);
      return onEnd(held);
    }
    const waiter = { tokens, onEnd };
    queue.waiters.push(waiter);
    this.#node.schedule(MAX_TOKEN_WAIT, () => this.#refuse(queue, waiter));
    this.#startExchange(queue);
    this.#node.schedule(LOAN_DELAY, () => this.#borrowIfSlow(queue));
  }

  settle(held: HeldTokens, spent: Tokens): void {
    const queue = this.#queues.get(held.eventId);
    if (queue === undefined) return;
    queue.account = settleReservation(queue.account, {
      reservation: held.detail as Reservation,
      spent,
      now: this.#readNow(),
    });
    this.#serveWaiters(queue);
    this.#scheduleVisit(queue);
  }

  receive(from: VmId, message: unknown): void {
    const body = message as Message;
    const queue = this.#queues.get(body.eventId);
    if ("request" in body) return this.#lend(from, body);
    if (queue === undefined) return;
    const { answer } = body;
    queue.heldByPeers = Math.max(queue.heldByPeers, answer.reserved);
    if (answer.tokens + answer.reserved > 0) queue.lenders.add(from);
    else queue.lenders.delete(from);
    if (answer.tokens === 0) queue.refusedAt.set(from, this.#readNow());
    queue.account = receiveLoan(queue.account, {
      answer,
      deadline: this.#readNow() + GRANT_TERM,
    });
    this.#serveWaiters(queue);
  }

  readRoom(eventId: EventId): Tokens {
    const queue = this.#queues.get(eventId);
    if (queue === undefined) return 0;
    return computeAccountRoom(queue.account, this.#readNow());
  }

  #readNow(): number {
    return this.#node.clock.readMonotonic();
  }

  #readQueue(event: SampleEvent): EventQueue {
    const known = this.#queues.get(event.id);
    if (known !== undefined) return known;
    const queue = {
      event,
      account: createEventAccount(event.id),
      waiters: [],
      isExchanging: false,
      isNarrowed: false,
      isBorrowing: false,
      isShort: false,
      refusedAt: new Map<VmId, MonotonicTime>(),
      askedAt: 0,
      heldByPeers: 0,
      lenders: new Set<VmId>(),
      isScarce: false,
    };
    this.#queues.set(event.id, queue);
    return queue;
  }

  #tryReserve(queue: EventQueue, tokens: Tokens): HeldTokens | undefined {
    const now = this.#readNow();
    const result = reserveTokens(queue.account, { tokens, now });
    if (result.isLeft()) return undefined;
    const { account, reservation } = result.unsafeCoerce();
    queue.account = account;
    return { eventId: queue.event.id, tokens, detail: reservation };
  }

  #serveWaiters(queue: EventQueue): void {
    const room = computeAccountRoom(queue.account, this.#readNow());
    const { isScarce } = queue;
    for (const waiter of listServable(queue.waiters, { room, isScarce })) {
      const held = this.#tryReserve(queue, waiter.tokens);
      if (held === undefined) return;
      queue.waiters = queue.waiters.filter((each) => each !== waiter);
      waiter.onEnd(held);
    }
  }

  #refuse(queue: EventQueue, waiter: Waiter): void {
    if (!queue.waiters.includes(waiter)) return;
    queue.waiters = queue.waiters.filter((each) => each !== waiter);
    waiter.onEnd(undefined);
    this.#serveWaiters(queue);
  }

  #computeNeed(queue: EventQueue): Tokens {
    const waiters = queue.isNarrowed
      ? queue.waiters.slice(0, 1)
      : queue.waiters;
    return waiters.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }

  #createTargetInput(queue: EventQueue) {
    return {
      now: this.#readNow(),
      lean: queue.event.lean,
      ...(queue.budgetLeft === undefined
        ? {}
        : { budgetLeft: queue.budgetLeft }),
      ...(this.#options.sizing === undefined
        ? {}
        : { sizing: this.#options.sizing }),
    };
  }

  #startExchange(queue: EventQueue): void {
    if (queue.isExchanging) return;
    const { vm, incarnation, clock, writer } = this.#node;
    queue.account = planExchange(queue.account, {
      ...this.#createTargetInput(queue),
      need: this.#computeNeed(queue),
      grantId: `${vm}/${incarnation}/${++this.#number}`,
      holder: { vm, incarnation },
      initialLimit: queue.event.limit,
      wallTime: clock.readWall(),
    });
    const { exchange } = queue.account;
    if (exchange === undefined) return;
    queue.isExchanging = true;
    const askedAt = this.#readNow();
    queue.askedAt = askedAt;
    const operation = createGrantExchange(exchange);
    void writer.run(operation, { giveUpAt: Infinity }).then((answer) =>
      answer.ifRight((result) => {
        const isShort = exchange.take !== undefined && result.size === 0;
        this.#receiveExchange(queue, { result, askedAt, isShort });
      })
    );
  }

  #receiveExchange(
    queue: EventQueue,
    input: {
      readonly result: GrantExchangeResult;
      readonly askedAt: number;
      readonly isShort: boolean;
    },
  ): void {
    const { result, askedAt } = input;
    queue.isExchanging = false;
    queue.budgetLeft = result.budgetLeft;
    const deadline = askedAt + GRANT_TERM;
    queue.account = receiveExchange(queue.account, { result, deadline });
    this.#serveWaiters(queue);
    this.#scheduleVisit(queue);
    queue.isShort = input.isShort && queue.waiters.length > 0;
    if (queue.waiters.length === 0) queue.isNarrowed = false;
    else if (!queue.isShort) this.#startExchange(queue);
    else if (!queue.isNarrowed && queue.waiters.length > 1) {
      queue.isNarrowed = true;
      this.#startExchange(queue);
    } else this.#borrow(queue);
  }

  #borrowIfSlow(queue: EventQueue): void {
    const isSlow = queue.isExchanging &&
      this.#readNow() - queue.askedAt >= LOAN_DELAY;
    if (isSlow && queue.waiters.length > 0) this.#borrow(queue);
  }

  /** Asks peers in turn until nobody waits or nobody is left to ask. */
  #borrow(queue: EventQueue): void {
    if (queue.isBorrowing) return;
    queue.isBorrowing = true;
    queue.isScarce = true;
    queue.heldByPeers = 0;
    this.#stepBorrowing(queue);
  }

  #stepBorrowing(queue: EventQueue): void {
    this.#serveWaiters(queue);
    const waiter = chooseRequestToBorrowFor(queue.waiters);
    const now = this.#readNow();
    const room = computeAccountRoom(queue.account, now);
    const missing = waiter === undefined ? 0 : waiter.tokens - room;
    const peers = this.#options.lends ? this.#sortPeers(queue) : [];
    const open = peers.filter((peer) =>
      now - (queue.refusedAt.get(peer) ?? -Infinity) >= REFUSAL_TIME
    );
    const plan = planLoans(queue.account, {
      missing,
      target: Math.max(LOAN_FACTOR * missing, queue.account.usualHold),
      peers: open,
      now,
    });
    for (const { lender, wanted } of plan.ask) {
      const transferId =
        `${this.#node.vm}/${this.#node.incarnation}/loan/${++this.#number}`;
      this.#sendRequest(queue, { transferId, lender, wanted, missing });
    }
    for (const { transferId, lender, wanted } of plan.resend) {
      this.#sendRequest(queue, { transferId, lender, wanted, missing });
    }
    if (waiter === undefined) return this.#endBorrowing(queue);
    if (missing > 0 && open.length === 0 && queue.isShort) {
      this.#refuseHopeless(queue, room);
      return this.#endBorrowing(queue);
    }
    this.#node.schedule(LOAN_INTERVAL, () => {
      if (queue.isBorrowing) this.#stepBorrowing(queue);
    });
  }

  /**
   * A peer that is known to hold tokens and one that is not, in turn; each the
   * one that refused the longest ago, so that all are asked in the end.
   */
  #sortPeers(queue: EventQueue): VmId[] {
    const readAge = (peer: VmId) => queue.refusedAt.get(peer) ?? -Infinity;
    const peers = [...this.#node.listPeers()]
      .sort((left, right) => readAge(left) - readAge(right) || 0);
    const lenders = peers.filter((peer) => queue.lenders.has(peer));
    const others = peers.filter((peer) => !queue.lenders.has(peer));
    return peers.flatMap((_, index) =>
      [lenders[index], others[index]].filter((peer) => peer !== undefined)
    );
  }

  #refuseHopeless(queue: EventQueue, room: Tokens): void {
    const hopeless = listUnservable(queue.waiters, {
      room,
      reserved: computeReserved(queue.account),
      reservedAtPeer: queue.heldByPeers,
      budgetLeft: queue.budgetLeft ?? 0,
    });
    for (const waiter of hopeless) this.#refuse(queue, waiter);
  }

  #endBorrowing(queue: EventQueue): void {
    queue.isBorrowing = false;
    queue.isShort = false;
    this.#serveWaiters(queue);
    if (queue.waiters.length > 0) return this.#startExchange(queue);
    queue.isNarrowed = false;
    queue.isScarce = false;
  }

  #sendRequest(
    queue: EventQueue,
    input: {
      readonly transferId: string;
      readonly lender: VmId;
      readonly wanted: Tokens;
      readonly missing: Tokens;
    },
  ): void {
    const { vm, incarnation } = this.#node;
    const { transferId, lender, wanted, missing } = input;
    queue.account = recordLoanRequest(queue.account, {
      transferId,
      lender,
      wanted,
      askedAt: this.#readNow(),
    });
    const borrower = { vm, incarnation };
    const room = computeAccountRoom(queue.account, this.#readNow());
    const request = { transferId, wanted, least: missing, room, borrower };
    this.#node.send(lender, { eventId: queue.event.id, request });
  }

  #lend(
    from: VmId,
    message: { readonly eventId: EventId; readonly request: LoanRequest },
  ): void {
    const { eventId, request } = message;
    const queue = this.#queues.get(eventId);
    const { account, answer } = lendTokens(
      queue?.account ?? createEventAccount(eventId),
      {
        request,
        now: this.#readNow(),
        keep: queue === undefined ? 0 : this.#computeNeed(queue),
        ...this.#describeShortage(queue),
      },
    );
    if (queue !== undefined) queue.account = account;
    this.#node.send(from, { eventId, answer });
  }

  /** What the smallest request lacks while nothing but loans can serve it. */
  #describeShortage(queue: EventQueue | undefined) {
    if (queue === undefined || !queue.isScarce) return {};
    const waiter = chooseRequestToBorrowFor(queue.waiters);
    if (waiter === undefined) return {};
    const room = computeAccountRoom(queue.account, this.#readNow());
    return { shortBy: waiter.tokens - room };
  }

  #scheduleVisit(queue: EventQueue): void {
    const due = computeNextDue(
      queue.account,
      this.#createTargetInput(queue),
    );
    this.#schedule.change(queue.event.id, due);
  }

  #visitDue(): void {
    for (const eventId of this.#schedule.takeDue(this.#readNow(), Infinity)) {
      const queue = this.#queues.get(eventId);
      if (queue === undefined) continue;
      this.#startExchange(queue);
      if (!queue.isExchanging) this.#scheduleVisit(queue);
    }
    this.#node.schedule(VISIT_INTERVAL, () => this.#visitDue());
  }
}
