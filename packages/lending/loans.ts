/**
 * Loans between VMs, for when the table cannot give a grant. Peers are asked in
 * turn; one that refused is left alone for a while. Who keeps the accounts, the
 * daemon or the gateway, is left to a {@link LoanBook}.
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
  /** `host:port` of its peer face. */
  readonly address: string;
}

/** The accounts of one VM, as loans need them. */
export interface LoanAccountAccess {
  readAccount(eventId: EventId): EventAccount;
  /** Changes an account and serves the requests that wait for it. */
  changeAccount(
    eventId: EventId,
    change: (account: EventAccount) => EventAccount,
  ): EventAccount;
  /** Returns the tokens that this VM's waiting requests need. */
  readWaitingTokens(eventId: EventId): Tokens;
  /** Returns what the smallest request lacks that only a loan can serve. */
  readShortage(eventId: EventId): Tokens | undefined;
}

/** Surroundings of a VM's loans. */
export interface LoanContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly life: VmIncarnation;
  /** Names a budget in log lines. */
  readonly budgetField: "event_id" | "customer";
}

/** Asked for in multiples of what is missing, so that loans stay few. */
const LOAN_FACTOR = 4;

/** How long a peer that refused is not asked again for the event. */
const REFUSAL_TIME: Millis = 500;

/** How long a peer that did not answer is not asked again. */
const SILENCE_TIME: Millis = 2_000;

/** Peers that are known to hold, or to lack, an event's tokens. */
interface KnownPeers {
  /** When a peer that gave nothing may be asked again. */
  readonly askAgainAt: Map<VmId, MonotonicTime>;
  readonly lenders: Set<VmId>;
  readonly askedAt: Map<VmId, MonotonicTime>;
}

/** How much is asked for, and of how many. */
export interface LoanNeed {
  readonly missing: Tokens;
  /** Tokens that the account would like to hold; a multiple if absent. */
  readonly target?: Tokens;
  /** Peers asked at a time; as many as the plan says if absent. */
  readonly fanout?: number;
  /** Peers that were asked since then are not asked again; all may if absent. */
  readonly since?: MonotonicTime;
}

/** What a step of borrowing came to. */
export interface BorrowRound {
  /** Peers that could still be asked when the step began. */
  readonly askedPeers: number;
  /** Most tokens that requests in progress at one peer hold. */
  readonly reservedAtPeer: Tokens;
  /** Peers that did not answer when they were last asked. */
  readonly silentPeers: number;
  /** Tokens that peers said they give back to the table for this. */
  readonly returning: Tokens;
}

/** Answers peers' requests for loans and asks for this VM's. */
export class Loans {
  readonly #context: LoanContext;
  readonly #book: LoanAccountAccess;
  readonly #client: PeerClient;
  readonly #listPeers: (eventId: EventId) => readonly Peer[];
  readonly #known = new Map<EventId, KnownPeers>();
  /** Until when a peer that did not answer is left alone. */
  readonly #silentUntil = new Map<VmId, MonotonicTime>();

  constructor(
    context: LoanContext,
    input: {
      readonly book: LoanAccountAccess;
      readonly client: PeerClient;
      /** Reachable peers, likeliest lenders first. */
      readonly listPeers: (eventId: EventId) => readonly Peer[];
    },
  ) {
    this.#context = context;
    this.#book = input.book;
    this.#client = input.client;
    this.#listPeers = input.listPeers;
  }

  /** Debits a loan and returns it. The debit stands whatever becomes of the answer. */
  lend(request: PeerLoanRequest): PeerLoanAnswer {
    const { eventId } = request;
    const now = this.#context.clock.readMonotonic();
    const keep = this.#book.readWaitingTokens(eventId);
    const shortBy = this.#book.readShortage(eventId);
    let answer: PeerLoanAnswer | undefined;
    this.#book.changeAccount(eventId, (account) => {
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

  /** Asks the next peers once for what an event lacks. */
  async borrow(eventId: EventId, need: LoanNeed): Promise<BorrowRound> {
    const { missing } = need;
    const known = this.#readKnown(eventId);
    const now = this.#context.clock.readMonotonic();
    const peers = this.#sortPeers(eventId, known);
    const isSilent = (peer: Peer) =>
      now < (this.#silentUntil.get(peer.vm) ?? -Infinity);
    const { since = Infinity } = need;
    const open = peers.filter((peer) =>
      !isSilent(peer) && now >= (known.askAgainAt.get(peer.vm) ?? -Infinity) &&
      (known.askedAt.get(peer.vm) ?? -Infinity) < since
    );
    const account = this.#book.readAccount(eventId);
    const plan = planLoans(account, {
      missing,
      target: need.target ?? Math.max(LOAN_FACTOR * missing, account.usualHold),
      ...(need.fanout === undefined ? {} : { fanout: need.fanout }),
      peers: open.map((peer) => peer.vm),
      now,
    });
    const asks = [
      ...plan.resend,
      ...plan.ask.map((ask) => ({
        transferId: randomUUID(),
        askedAt: now,
        ...ask,
      })),
    ];
    for (const { lender } of asks) known.askedAt.set(lender, now);
    const answers = await Promise.all(asks.map((loan) => {
      const peer = open.find((each) => each.vm === loan.lender);
      return peer === undefined
        ? undefined
        : this.#ask(eventId, { loan, peer, least: missing });
    }));
    return {
      askedPeers: open.length,
      reservedAtPeer: Math.max(
        0,
        ...answers.map((each) => each?.reserved ?? 0),
      ),
      silentPeers: peers.filter(isSilent).length,
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
   * A peer that is known to hold tokens and one that is not, in turn; each the
   * one that gave nothing the longest ago, so that all are asked in the end.
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

  /** Returns the answer once it is credited; undefined if there is none. */
  async #ask(
    eventId: EventId,
    input: {
      readonly loan: PendingLoan;
      readonly peer: Peer;
      readonly least: Tokens;
    },
  ): Promise<PeerLoanAnswer | undefined> {
    const { loan, peer, least } = input;
    const { life, clock } = this.#context;
    // The id is pending before the request leaves, so that a late answer is
    // credited and a doubled one is not.
    const account = this.#book.changeAccount(
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
        const until = clock.readMonotonic() + SILENCE_TIME;
        this.#silentUntil.set(peer.vm, until);
        this.#context.log.warn(LogEvent.PeerSilent, {
          peer: peer.vm,
          reason: error.message,
        });
        return undefined;
      },
      Right: (given) => {
        this.#silentUntil.delete(peer.vm);
        this.#book.changeAccount(
          eventId,
          (before) => removeReportedLoans(before, spent),
        );
        this.#receive(eventId, { given, peer, known });
        return given;
      },
    });
  }

  #receive(
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
      known.askAgainAt.set(peer.vm, now + REFUSAL_TIME);
      if (given.reserved === 0) known.lenders.delete(peer.vm);
      return;
    }
    known.lenders.add(peer.vm);
    const deadline = now + GRANT_TERM;
    this.#book.changeAccount(
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
