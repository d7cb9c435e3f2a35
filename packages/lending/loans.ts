/**
 * Token loans between VMs, for when the store cannot give a grant. Peers are
 * asked in turn, and one that refused is not asked again for a while.
 * The accounts, kept by the daemon or the gateway, are accessed through
 * {@link LoanBook}.
 */
import { randomUUID } from "node:crypto";
import {
  computeAccountRoom,
  type EventAccount,
  GRANT_TERM,
  lendTokens,
  listSpentLoans,
  type PendingLoan,
  planLoans,
  receiveLoan,
  recordLoanRequest,
  removeReportedLoans,
  settleSpentLoans,
  type VmIncarnation,
} from "../budget/mod.ts";
import type {
  Clock,
  EventId,
  Millis,
  MonotonicTime,
  Tokens,
  VmId,
} from "../core/mod.ts";
import type {
  PeerClient,
  PeerLoanAnswer,
  PeerLoanRequest,
} from "../peer/mod.ts";
import { type EventLog, LogEvent } from "../runtime/mod.ts";

/** A reachable peer. */
export interface Peer {
  readonly vm: VmId;
  /** `host:port` at which it serves requests from peers. */
  readonly address: string;
}

/** Access to the accounts of one VM. */
export interface LoanAccountAccess {
  readAccount(eventId: EventId): EventAccount;
  /** Changes an account and serves the requests that wait for its tokens. */
  changeAccount(
    eventId: EventId,
    change: (account: EventAccount) => EventAccount,
  ): EventAccount;
  /** Returns the tokens that this VM's waiting requests need. */
  readWaitingTokens(eventId: EventId): Tokens;
  /**
   * Returns the shortfall of the smallest waiting request while only loans can
   * serve it; undefined if no request waits for a loan.
   */
  readShortfall(eventId: EventId): Tokens | undefined;
}

/** Dependencies of {@link Loans} that don't depend on the budget. */
export interface LoanContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly vmIncarnation: VmIncarnation;
  /** Name of the log field that identifies a budget. */
  readonly budgetField: "event_id" | "customer";
}

/**
 * Multiple of the missing tokens to ask for, so that fewer loans are needed.
 */
const LOAN_FACTOR = 4;

/** Time for which a peer that refused is not asked again for the same event. */
const REFUSAL_BACKOFF: Millis = 500;

/** Time for which a peer that did not answer is not asked for any event. */
const UNANSWERED_BACKOFF: Millis = 2_000;

/** What is known about the peers as lenders of one event's tokens. */
interface KnownPeers {
  /** Time from which a peer that refused may be asked again. */
  readonly askAgainAt: Map<VmId, MonotonicTime>;
  readonly lenders: Set<VmId>;
  readonly askedAt: Map<VmId, MonotonicTime>;
}

/** How many tokens to ask for, and which and how many peers to ask. */
export interface BorrowOptions {
  readonly missing: Tokens;
  /**
   * Tokens to ask for; if absent, {@link LOAN_FACTOR} times what is missing or
   * the usual reservation, whichever is larger.
   */
  readonly target?: Tokens;
  /** Number of peers asked at a time; the default of the plan if absent. */
  readonly fanout?: number;
  /** Peers asked at or after this time are skipped; if absent, none is. */
  readonly since?: MonotonicTime;
}

/** Result of one round of loan requests. */
export interface BorrowRound {
  /** Number of peers that could still be asked when the round began. */
  readonly eligiblePeers: number;
  /** Maximum number of tokens that requests in progress hold at one peer. */
  readonly reservedAtPeer: Tokens;
  /** Number of peers that recently left a loan request unanswered. */
  readonly unresponsivePeers: number;
  /**
   * Tokens that peers report to be returning to the budget for these requests.
   */
  readonly returning: Tokens;
}

/** Answers loan requests from peers and requests loans for this VM. */
export class Loans {
  readonly #context: LoanContext;
  readonly #accounts: LoanAccountAccess;
  readonly #client: PeerClient;
  readonly #listPeers: (eventId: EventId) => readonly Peer[];
  readonly #known = new Map<EventId, KnownPeers>();
  /** Time until which a peer that did not answer is not asked again. */
  readonly #silentUntil = new Map<VmId, MonotonicTime>();

  constructor(
    context: LoanContext,
    input: {
      readonly book: LoanAccountAccess;
      readonly client: PeerClient;
      /** Returns the reachable peers, most likely lenders first. */
      readonly listPeers: (eventId: EventId) => readonly Peer[];
    },
  ) {
    this.#context = context;
    this.#accounts = input.book;
    this.#client = input.client;
    this.#listPeers = input.listPeers;
  }

  /**
   * Debits a loan and returns the answer to send. The debit stands even if the
   * answer is lost.
   */
  lend(request: PeerLoanRequest): PeerLoanAnswer {
    const { eventId } = request;
    const now = this.#context.clock.readMonotonic();
    const keep = this.#accounts.readWaitingTokens(eventId);
    const shortBy = this.#accounts.readShortfall(eventId);
    let answer: PeerLoanAnswer | undefined;
    this.#accounts.changeAccount(eventId, (account) => {
      const settled = settleSpentLoans(account, request.spent ?? []);
      const lent = lendTokens(settled, {
        request,
        now,
        keep,
        ...(shortBy === undefined ? {} : { shortBy }),
      });
      answer = lent.answer;
      return lent.account;
    });
    this.#context.log.info(LogEvent.LoanMade, {
      [this.#context.budgetField]: eventId,
      borrower: request.borrower.vm,
      tokens: answer!.tokens,
    });
    return answer!;
  }

  /** Sends one round of loan requests for an event to the next peers. */
  async borrow(eventId: EventId, options: BorrowOptions): Promise<BorrowRound> {
    const { missing } = options;
    const known = this.#readKnown(eventId);
    const now = this.#context.clock.readMonotonic();
    const peers = this.#sortPeers(eventId, known);
    const isSilent = (peer: Peer) =>
      now < (this.#silentUntil.get(peer.vm) ?? -Infinity);
    const { since = Infinity } = options;
    const open = peers.filter((peer) =>
      !isSilent(peer) && now >= (known.askAgainAt.get(peer.vm) ?? -Infinity) &&
      (known.askedAt.get(peer.vm) ?? -Infinity) < since
    );
    const account = this.#accounts.readAccount(eventId);
    const plan = planLoans(account, {
      missing,
      target: options.target ??
        Math.max(LOAN_FACTOR * missing, account.usualHold),
      ...(options.fanout === undefined ? {} : { fanout: options.fanout }),
      peers: open.map((peer) => peer.vm),
      now,
    });
    const requests = [
      ...plan.resend,
      ...plan.ask.map((ask) => ({
        transferId: randomUUID(),
        askedAt: now,
        ...ask,
      })),
    ];
    for (const { lender } of requests) known.askedAt.set(lender, now);
    const answers = await Promise.all(requests.map((loan) => {
      const peer = open.find((each) => each.vm === loan.lender);
      return peer === undefined
        ? undefined
        : this.#requestLoan(eventId, { loan, peer, least: missing });
    }));
    return {
      eligiblePeers: open.length,
      reservedAtPeer: Math.max(
        0,
        ...answers.map((each) => each?.reserved ?? 0),
      ),
      unresponsivePeers: peers.filter(isSilent).length,
      returning: answers
        .reduce((sum, each) => sum + (each?.returning ?? 0), 0),
    };
  }

  #readKnown(eventId: EventId): KnownPeers {
    const known = this.#known.get(eventId) ??
      { askAgainAt: new Map(), lenders: new Set(), askedAt: new Map() };
    this.#known.set(eventId, known);
    return known;
  }

  /**
   * Returns the event's peers with known lenders and other peers alternating.
   * Both groups are sorted by how long ago a peer last refused, so that every
   * peer is asked eventually.
   */
  #sortPeers(eventId: EventId, known: KnownPeers): Peer[] {
    const readAge = ({ vm }: Peer) => known.askAgainAt.get(vm) ?? -Infinity;
    const peers = [...this.#listPeers(eventId)]
      .sort((left, right) => readAge(left) - readAge(right) || 0);
    const lenders = peers.filter((peer) => known.lenders.has(peer.vm));
    const others = peers.filter((peer) => !known.lenders.has(peer.vm));
    return peers.flatMap((_, index) =>
      [lenders[index], others[index]].filter((peer) => peer !== undefined)
    );
  }

  /** Sends a request; returns the credited answer, or undefined without one. */
  async #requestLoan(
    eventId: EventId,
    input: {
      readonly loan: PendingLoan;
      readonly peer: Peer;
      readonly least: Tokens;
    },
  ): Promise<PeerLoanAnswer | undefined> {
    const { loan, peer, least } = input;
    const { vmIncarnation: life, clock } = this.#context;
    // The id is pending before the request is sent, so that a late answer is
    // credited and a duplicate one is not.
    const account = this.#accounts.changeAccount(
      eventId,
      (before) => recordLoanRequest(before, loan),
    );
    const spent = listSpentLoans(account, peer.vm);
    const answer = await this.#client.lend(peer.address, {
      eventId,
      transferId: loan.transferId,
      wanted: loan.wanted,
      least: Math.min(least, loan.wanted),
      room: computeAccountRoom(account, clock.readMonotonic()),
      borrower: life,
      ...(spent.length === 0 ? {} : { spent }),
    });
    const known = this.#readKnown(eventId);
    return answer.caseOf<PeerLoanAnswer | undefined>({
      Left: (error) => {
        const until = clock.readMonotonic() + UNANSWERED_BACKOFF;
        this.#silentUntil.set(peer.vm, until);
        this.#context.log.warn(LogEvent.PeerSilent, {
          peer: peer.vm,
          reason: error.message,
        });
        return undefined;
      },
      Right: (given) => {
        this.#silentUntil.delete(peer.vm);
        this.#accounts.changeAccount(
          eventId,
          (before) => removeReportedLoans(before, spent),
        );
        this.#creditAnswer(eventId, { given, peer, known });
        return given;
      },
    });
  }

  #creditAnswer(
    eventId: EventId,
    input: {
      readonly given: PeerLoanAnswer;
      readonly peer: Peer;
      readonly known: KnownPeers;
    },
  ): void {
    const { given, peer, known } = input;
    const { clock, log } = this.#context;
    const now = clock.readMonotonic();
    if (given.tokens === 0) {
      known.askAgainAt.set(peer.vm, now + REFUSAL_BACKOFF);
      if (given.reserved === 0) known.lenders.delete(peer.vm);
      return;
    }
    known.lenders.add(peer.vm);
    const deadline = now + GRANT_TERM;
    this.#accounts.changeAccount(
      eventId,
      (account) => receiveLoan(account, { answer: given, deadline }),
    );
    log.info(LogEvent.LoanTaken, {
      [this.#context.budgetField]: eventId,
      lender: peer.vm,
      tokens: given.tokens,
    });
  }
}
