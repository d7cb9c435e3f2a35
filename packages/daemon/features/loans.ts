/** Loans between VMs, for when the table cannot give a grant. */
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
import type { EventConfig, Tokens, VmId } from "../../core/mod.ts";
import type {
  PeerClient,
  PeerLoanAnswer,
  PeerLoanRequest,
} from "../../peer/mod.ts";
import { LogEvent } from "../event_log.ts";
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

/** Rounds in which peers are asked for one shortage. */
const MAX_ROUNDS = 4;

/** Answers peers' requests for loans and asks for this VM's. */
export class Loans {
  readonly #context: NodeContext;
  readonly #escrow: Escrow;
  readonly #client: PeerClient;
  readonly #listPeers: () => readonly Peer[];

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
    const now = this.#context.clock.readMonotonic();
    const keep = this.#escrow.readWaitingTokens(request.eventId);
    const shortBy = this.#escrow.readShortage(request.eventId);
    let answer: PeerLoanAnswer | undefined;
    this.#escrow.changeAccount(request.eventId, (account) => {
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
      event_id: request.eventId,
      borrower: request.borrower.vm,
      tokens: answer!.tokens,
    });
    return answer!;
  }

  /** Asks peers until the account holds what is missing or nobody is left. */
  async borrow(event: EventConfig, missing: Tokens): Promise<void> {
    const refused = new Set<VmId>();
    const wanted = this.#computeRoom(event) + missing;
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const short = wanted - this.#computeRoom(event);
      const peers = this.#listPeers().filter((peer) => !refused.has(peer.vm));
      const plan = planLoans(this.#escrow.readAccount(event.id), {
        missing: short,
        target: short * LOAN_FACTOR,
        peers: peers.map((peer) => peer.vm),
        now: this.#context.clock.readMonotonic(),
      });
      const asks = [...plan.resend, ...plan.ask.map((ask) => this.#open(ask))];
      if (asks.length === 0) return;
      await Promise.all(asks.map(async (loan) => {
        const peer = peers.find((each) => each.vm === loan.lender);
        const given = await this.#ask(event, { loan, peer, least: short });
        if (given === 0) refused.add(loan.lender);
      }));
    }
  }

  #computeRoom(event: EventConfig): Tokens {
    const now = this.#context.clock.readMonotonic();
    return computeAccountRoom(this.#escrow.readAccount(event.id), now);
  }

  #open(ask: { readonly lender: VmId; readonly wanted: Tokens }): PendingLoan {
    return {
      transferId: randomUUID(),
      askedAt: this.#context.clock.readMonotonic(),
      ...ask,
    };
  }

  /** Returns the tokens lent; 0 when the peer refused or did not answer. */
  async #ask(
    event: EventConfig,
    input: {
      readonly loan: PendingLoan;
      readonly peer: Peer | undefined;
      readonly least: Tokens;
    },
  ): Promise<Tokens> {
    const { loan, peer, least } = input;
    const { settings, incarnation, clock, log } = this.#context;
    if (peer === undefined) return 0;
    // The id is pending before the request leaves, so that a late answer is
    // credited and a doubled one is not.
    this.#escrow.changeAccount(
      event.id,
      (account) => recordLoanAsked(account, loan),
    );
    const answer = await this.#client.lend(peer.address, {
      eventId: event.id,
      transferId: loan.transferId,
      wanted: loan.wanted,
      least: Math.min(least, loan.wanted),
      borrower: { vm: settings.vm, incarnation },
    });
    const given = answer.toMaybe().extract();
    if (given === undefined) return 0;
    const deadline = clock.readMonotonic() + GRANT_TERM;
    this.#escrow.changeAccount(
      event.id,
      (account) => receiveLoan(account, { answer: given, deadline }),
    );
    log.info(LogEvent.LoanTaken, {
      event_id: event.id,
      lender: loan.lender,
      tokens: given.tokens,
    });
    return given.tokens;
  }
}
