/**
 * Loans between VMs, for when the table cannot give a grant. Peers are asked in
 * turn; one that refused is left alone for a while.
 */
import { randomUUID } from "node:crypto";
import {
  computeAccountRoom,
  GRANT_TERM,
  lendTokens,
  type PendingLoan,
  planLoans,
  receiveLoan,
  recordLoanAsked,
} from "../../budget/mod.ts";
import type {
  EventConfig,
  EventId,
  Millis,
  MonotonicTime,
  Tokens,
  VmId,
} from "../../core/mod.ts";
import type {
  PeerClient,
  PeerLoanAnswer,
  PeerLoanRequest,
} from "../../peer/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import type { NodeContext } from "../node_context.ts";
import type { Escrow } from "./escrow.ts";

/** A reachable peer. */
export interface Peer {
  readonly vm: VmId;
  /** `host:port` of its peer face. */
  readonly address: string;
}

/** Asked for in multiples of what is missing, so that loans stay few. */
const LOAN_FACTOR = 4;

/** How long a peer that refused is not asked again for the event. */
const REFUSAL_TIME: Millis = 500;

/** Peers that are known to hold, or to lack, an event's tokens. */
interface KnownPeers {
  readonly refusedAt: Map<VmId, MonotonicTime>;
  readonly lenders: Set<VmId>;
}

/** What a step of borrowing came to. */
export interface LoanStep {
  /** Peers that could still be asked when the step began. */
  readonly askedPeers: number;
  /** Most tokens that requests in progress at one peer hold. */
  readonly reservedAtPeer: Tokens;
}

/** Answers peers' requests for loans and asks for this VM's. */
export class Loans {
  readonly #context: NodeContext;
  readonly #escrow: Escrow;
  readonly #client: PeerClient;
  readonly #listPeers: () => readonly Peer[];
  readonly #known = new Map<EventId, KnownPeers>();

  constructor(
    context: NodeContext,
    input: {
      readonly escrow: Escrow;
      readonly client: PeerClient;
      /** Reachable peers, likeliest lenders first. */
      readonly listPeers: () => readonly Peer[];
    },
  ) {
    this.#context = context;
    this.#escrow = input.escrow;
    this.#client = input.client;
    this.#listPeers = input.listPeers;
  }

  /** Debits a loan and returns it. The debit stands whatever becomes of the answer. */
  lend(request: PeerLoanRequest): PeerLoanAnswer {
    const { eventId } = request;
    const now = this.#context.clock.readMonotonic();
    const keep = this.#escrow.readWaitingTokens(eventId);
    const shortBy = this.#escrow.readShortage(eventId);
    let answer: PeerLoanAnswer | undefined;
    this.#escrow.changeAccount(eventId, (account) => {
      const lent = lendTokens(account, {
        request,
        now,
        keep,
        ...(shortBy === undefined ? {} : { shortBy }),
      });
      answer = lent.answer;
      return lent.account;
    });
    this.#context.log.info(LogEvent.LoanMade, {
      event_id: eventId,
      borrower: request.borrower.vm,
      tokens: answer!.tokens,
    });
    return answer!;
  }

  /** Asks the next peers once for what an event lacks. */
  async borrow(event: EventConfig, missing: Tokens): Promise<LoanStep> {
    const known = this.#readKnown(event.id);
    const now = this.#context.clock.readMonotonic();
    const open = this.#sortPeers(known).filter((peer) =>
      now - (known.refusedAt.get(peer.vm) ?? -Infinity) >= REFUSAL_TIME
    );
    const account = this.#escrow.readAccount(event.id);
    const plan = planLoans(account, {
      missing,
      target: Math.max(LOAN_FACTOR * missing, account.usualHold),
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
    const reserved = await Promise.all(asks.map((loan) => {
      const peer = open.find((each) => each.vm === loan.lender);
      return peer === undefined
        ? 0
        : this.#ask(event, { loan, peer, least: missing });
    }));
    return {
      askedPeers: open.length,
      reservedAtPeer: Math.max(0, ...reserved),
    };
  }

  #readKnown(eventId: EventId): KnownPeers {
    const known = this.#known.get(eventId) ??
      { refusedAt: new Map(), lenders: new Set() };
    this.#known.set(eventId, known);
    return known;
  }

  /**
   * A peer that is known to hold tokens and one that is not, in turn; each the
   * one that refused the longest ago, so that all are asked in the end.
   */
  #sortPeers(known: KnownPeers): Peer[] {
    const readAge = ({ vm }: Peer) => known.refusedAt.get(vm) ?? -Infinity;
    const peers = [...this.#listPeers()]
      .sort((left, right) => readAge(left) - readAge(right) || 0);
    const lenders = peers.filter((peer) => known.lenders.has(peer.vm));
    const others = peers.filter((peer) => !known.lenders.has(peer.vm));
    return peers.flatMap((_, index) =>
      [lenders[index], others[index]].filter((peer) => peer !== undefined)
    );
  }

  /** Returns the tokens that requests in progress at the peer hold. */
  async #ask(
    event: EventConfig,
    input: {
      readonly loan: PendingLoan;
      readonly peer: Peer;
      readonly least: Tokens;
    },
  ): Promise<Tokens> {
    const { loan, peer, least } = input;
    const { settings, incarnation, clock } = this.#context;
    // The id is pending before the request leaves, so that a late answer is
    // credited and a doubled one is not.
    const account = this.#escrow.changeAccount(
      event.id,
      (before) => recordLoanAsked(before, loan),
    );
    const answer = await this.#client.lend(peer.address, {
      eventId: event.id,
      transferId: loan.transferId,
      wanted: loan.wanted,
      least: Math.min(least, loan.wanted),
      room: computeAccountRoom(account, clock.readMonotonic()),
      borrower: { vm: settings.vm, incarnation },
    });
    const known = this.#readKnown(event.id);
    return answer.caseOf({
      Left: () => {
        known.refusedAt.set(peer.vm, clock.readMonotonic());
        return 0;
      },
      Right: (given) => this.#receive(event, { given, peer, known }),
    });
  }

  #receive(
    event: EventConfig,
    input: {
      readonly given: PeerLoanAnswer;
      readonly peer: Peer;
      readonly known: KnownPeers;
    },
  ): Tokens {
    const { given, peer, known } = input;
    const { clock, log } = this.#context;
    const now = clock.readMonotonic();
    if (given.tokens === 0) {
      known.refusedAt.set(peer.vm, now);
      if (given.reserved === 0) known.lenders.delete(peer.vm);
      return given.reserved;
    }
    known.lenders.add(peer.vm);
    const deadline = now + GRANT_TERM;
    this.#escrow.changeAccount(
      event.id,
      (account) => receiveLoan(account, { answer: given, deadline }),
    );
    log.info(LogEvent.LoanTaken, {
      event_id: event.id,
      lender: peer.vm,
      tokens: given.tokens,
    });
    return given.reserved;
  }
}
