/**
 * Token loans between VMs, for when the store cannot provide a grant. Peers are
 * asked in turn; one that refused or did not answer is not asked again until a
 * backoff time has passed. The accounts, which the daemon or the gateway keeps,
 * are accessed through {@link LoanAccountAccess}.
 */
import { randomUUID } from "node:crypto";
import {
  computeAccountRoom,
  type EventAccount,
  GRANT_TERM,
  lendTokens,
  listSettledLoans,
  listUnansweredLoans,
  type LoanReport,
  type PendingLoan,
  planLoans,
  receiveLoan,
  recordLoanRequest,
  releaseLoans,
  removeReportedLoans,
  settleLoans,
  type VmIncarnation,
} from "../budget/mod.ts";
import type {
  Clock,
  EventId,
  Millis,
  MonotonicTime,
  PlatformError,
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
  /** Returns the account of an event. */
  readAccount(eventId: EventId): EventAccount;
  /**
   * Changes an account, serves the requests that wait for its tokens, and
   * returns the account.
   */
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
  /**
   * Whether borrowed tokens may be lent on to a borrower that is short of
   * `tokens`; they may if absent.
   */
  mayRelend?(eventId: EventId, tokens: Tokens): boolean;
}

/** Dependencies of {@link Loans} other than accounts and peers. */
export interface LoanContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly vmIncarnation: VmIncarnation;
  /** Name of the log field that contains the id of the event or customer. */
  readonly budgetField: "event_id" | "customer";
}

/**
 * Multiple of the missing tokens to ask for, so that fewer loans are needed.
 */
const LOAN_FACTOR = 4;

/** Time for which a peer that refused is not asked again for the same event. */
const REFUSAL_BACKOFF: Millis = 500;

/** The same for a peer that is taking tokens from the store. */
const REFILL_BACKOFF: Millis = 60;

/** Time for which a peer that did not answer is not asked for any event. */
const UNANSWERED_BACKOFF: Millis = 2_000;

/** Peers' earlier answers to loan requests for one event. */
interface PeerHistory {
  /** Last answers of the peers that had no tokens. */
  readonly refusals: Map<VmId, LoanRefusal>;
  /**
   * Peers that have lent tokens; one that refuses while it has none reserved is
   * removed.
   */
  readonly lenders: Set<VmId>;
  /** Time of the last request to each peer. */
  readonly askedAt: Map<VmId, MonotonicTime>;
  /** Time of the last answer of any peer. */
  answeredAt: MonotonicTime;
}

/** The last answer of a peer that had no tokens. */
interface LoanRefusal {
  /** Time from which the peer may be asked again. */
  readonly askAgainAt: MonotonicTime;
  readonly answer: PeerLoanAnswer;
}

/** How many tokens to ask for, and which and how many peers to ask. */
export interface BorrowOptions {
  readonly missing: Tokens;
  /**
   * Tokens to ask for; if absent, {@link LOAN_FACTOR} times what is missing or
   * the average reservation, whichever is larger.
   */
  readonly target?: Tokens;
  /** Number of peers asked at a time; the default of `planLoans` if absent. */
  readonly fanout?: number;
  /** Peers asked at or after this time are skipped; if absent, none is. */
  readonly since?: MonotonicTime;
}

/** Result of one round of loan requests. */
export interface BorrowRound {
  /**
   * Number of peers that could be asked when the round began, of which at most
   * the fanout was asked.
   */
  readonly eligiblePeers: number;
  /** Maximum number of tokens that requests in progress hold at one peer. */
  readonly reservedAtPeer: Tokens;
  /** Number of peers that recently left a loan request unanswered. */
  readonly unresponsivePeers: number;
  /**
   * Tokens that peers report to be returning to the budget, those of earlier
   * rounds that aren't asked again yet among them.
   */
  readonly returning: Tokens;
  /** The same for tokens that a peer is taking from the store. */
  readonly isRefilling: boolean;
  /** When a peer last answered; `-Infinity` if none has. */
  readonly answeredAt: MonotonicTime;
  /** Spending rate of all VMs, the highest that a peer knows. */
  readonly totalRate?: number;
}

/** Answers loan requests from peers and requests loans for this VM. */
export class Loans {
  readonly #context: LoanContext;
  readonly #accounts: LoanAccountAccess;
  readonly #client: PeerClient;
  readonly #listPeers: (eventId: EventId) => readonly Peer[];
  readonly #listLenders: () => readonly Peer[];
  readonly #histories = new Map<EventId, PeerHistory>();
  /** Time from which a peer that did not answer may be asked again. */
  readonly #backoffUntil = new Map<VmId, MonotonicTime>();
  /** Events with reports of settled loans in progress. */
  readonly #reporting = new Set<EventId>();

  constructor(
    context: LoanContext,
    input: {
      readonly book: LoanAccountAccess;
      readonly client: PeerClient;
      /** Returns the reachable peers, most likely lenders first. */
      readonly listPeers: (eventId: EventId) => readonly Peer[];
      /**
       * Returns all reachable peers. A part of a loan may come from a VM that
       * this one doesn't ask.
       */
      readonly listLenders: () => readonly Peer[];
    },
  ) {
    this.#context = context;
    this.#accounts = input.book;
    this.#client = input.client;
    this.#listPeers = input.listPeers;
    this.#listLenders = input.listLenders;
  }

  /**
   * Ends the loans that a borrower reports as settled; returns the tokens that
   * became available again.
   */
  settle(request: PeerLoanRequest): Tokens {
    const { eventId, settled = [] } = request;
    if (settled.length === 0) return 0;
    const now = this.#context.clock.readMonotonic();
    const before = this.#accounts.readAccount(eventId);
    const after = settleLoans(before, settled);
    this.#accounts.changeAccount(eventId, () => after);
    return computeAccountRoom(after, now) - computeAccountRoom(before, now);
  }

  /**
   * Debits a loan and returns the answer to send. The debit stands even if the
   * answer is lost.
   */
  lend(request: PeerLoanRequest): PeerLoanAnswer {
    const { eventId } = request;
    this.settle(request);
    const now = this.#context.clock.readMonotonic();
    const keep = this.#accounts.readWaitingTokens(eventId);
    const shortBy = this.#accounts.readShortfall(eventId);
    let answer: PeerLoanAnswer | undefined;
    this.#accounts.changeAccount(eventId, (account) => {
      const lent = lendTokens(account, {
        request,
        now,
        keep,
        mayRelend: this.#accounts.mayRelend?.(eventId, request.least) ?? true,
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

  /**
   * Sends one round of loan requests for an event to the next peers and credits
   * their answers.
   */
  async borrow(eventId: EventId, options: BorrowOptions): Promise<BorrowRound> {
    const { missing } = options;
    const history = this.#readHistory(eventId);
    const now = this.#context.clock.readMonotonic();
    const peers = this.#sortPeers(eventId, history);
    const { since = Infinity } = options;
    const eligible = peers.filter((peer) =>
      !this.isSilent(peer.vm, now) &&
      now >= (history.refusals.get(peer.vm)?.askAgainAt ?? -Infinity) &&
      (history.askedAt.get(peer.vm) ?? -Infinity) < since
    );
    const account = this.#accounts.readAccount(eventId);
    const plan = planLoans(account, {
      missing,
      target: options.target ??
        Math.max(LOAN_FACTOR * missing, account.usualHold),
      ...(options.fanout === undefined ? {} : { fanout: options.fanout }),
      peers: eligible.map((peer) => peer.vm),
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
    for (const { lender } of requests) history.askedAt.set(lender, now);
    const answers = await Promise.all(requests.map((loan) => {
      const peer = eligible.find((each) => each.vm === loan.lender);
      return peer === undefined
        ? undefined
        : this.#requestLoan(eventId, { loan, peer, least: missing });
    }));
    const refusals = listRefusals(history, this.#context.clock.readMonotonic());
    const heard = [...answers.filter(hasLent), ...refusals];
    const rates = answers.flatMap((each) => each?.totalRate ?? []);
    return {
      ...(rates.length === 0 ? {} : { totalRate: Math.max(...rates) }),
      eligiblePeers: eligible.length,
      reservedAtPeer: Math.max(
        0,
        ...answers.map((each) => each?.reserved ?? 0),
      ),
      unresponsivePeers:
        peers.filter(({ vm }) => this.isSilent(vm, now)).length,
      returning: heard.reduce((sum, each) => sum + (each.returning ?? 0), 0),
      isRefilling: heard.some((each) => each.refilling === true),
      answeredAt: history.answeredAt,
    };
  }

  /** Whether a peer is not asked at a time, since it left a request unanswered. */
  isSilent(peer: VmId, now: MonotonicTime): boolean {
    return now < (this.#backoffUntil.get(peer) ?? -Infinity);
  }

  /** Lets the next call of {@link borrow} ask the peers that have refused. */
  dropRefusals(eventId: EventId): void {
    this.#histories.get(eventId)?.refusals.clear();
  }

  /**
   * Gives loans of an event that no request uses back to their lenders, except
   * for `keep` tokens, and reports those that were settled before. A report
   * without an answer is sent again at the next call, and so is a request for a
   * loan, whose tokens would stay with nobody if its answer was lost.
   */
  async giveBack(eventId: EventId, keep: Tokens): Promise<void> {
    if (this.#reporting.has(eventId)) return;
    const now = this.#context.clock.readMonotonic();
    const lenders = this.#listLenders()
      .filter((peer) => now >= (this.#backoffUntil.get(peer.vm) ?? -Infinity));
    const { vm: self } = this.#context.vmIncarnation;
    const reachable = [self, ...lenders.map((peer) => peer.vm)];
    const account = this.#accounts.changeAccount(
      eventId,
      (before) =>
        settleOwnLoans(
          releaseLoans(before, {
            keep,
            isReachable: (grantId) =>
              reachable.some((vm) => grantId.startsWith(`${vm}/`)),
          }),
          self,
        ),
    );
    const reports = lenders
      .filter((peer) => listSettledLoans(account, peer.vm).length > 0)
      .map((peer) => this.#reportLoans(eventId, peer));
    const requests = listUnansweredLoans(account, now).flatMap((loan) =>
      lenders.filter((peer) => peer.vm === loan.lender)
        .map((peer) => this.#requestLoan(eventId, { loan, peer, least: 0 }))
    );
    if (reports.length + requests.length === 0) return;
    this.#reporting.add(eventId);
    await Promise.all([...reports, ...requests])
      .finally(() => this.#reporting.delete(eventId));
  }

  /**
   * Returns the tokens that this VM gives back to lenders that have not
   * answered yet.
   */
  sumUnreported(eventId: EventId): Tokens {
    return this.#accounts.readAccount(eventId).settledLoans
      .reduce((sum, loan) => sum + loan.unspent, 0);
  }

  /** Sends a loan request for no tokens, which reports the settled loans. */
  async #reportLoans(eventId: EventId, peer: Peer): Promise<void> {
    const { vmIncarnation: borrower } = this.#context;
    const settled = this.#listReported(eventId, peer.vm);
    const answer = await this.#client.lend(peer.address, {
      eventId,
      transferId: randomUUID(),
      wanted: 0,
      least: 0,
      borrower,
      settled,
    });
    answer.caseOf({
      Left: (error) => this.#recordSilence(peer.vm, error),
      Right: () => this.#removeReported(eventId, settled),
    });
  }

  /** Returns the settled loans to report to a lender. */
  #listReported(
    eventId: EventId,
    lender: VmId,
  ): Required<LoanReport>[] {
    return listSettledLoans(this.#accounts.readAccount(eventId), lender)
      .map(({ transferId, size, unspent }) => ({ transferId, size, unspent }));
  }

  #removeReported(
    eventId: EventId,
    settled: readonly { readonly transferId: string }[],
  ): void {
    const ids = settled.map((loan) => loan.transferId);
    this.#accounts.changeAccount(
      eventId,
      (before) => removeReportedLoans(before, ids),
    );
  }

  #recordSilence(peer: VmId, error: PlatformError): void {
    const until = this.#context.clock.readMonotonic() + UNANSWERED_BACKOFF;
    this.#backoffUntil.set(peer, until);
    this.#context.log.warn(LogEvent.PeerSilent, {
      peer,
      reason: error.message,
    });
  }

  #readHistory(eventId: EventId): PeerHistory {
    const history = this.#histories.get(eventId) ?? {
      refusals: new Map(),
      lenders: new Set(),
      askedAt: new Map(),
      answeredAt: -Infinity,
    };
    this.#histories.set(eventId, history);
    return history;
  }

  /**
   * Returns the event's peers with known lenders and other peers alternating.
   * Within both groups, peers that never refused come first and the others
   * follow by the time of their last refusal, the earliest first, so that every
   * peer is asked eventually.
   */
  #sortPeers(eventId: EventId, history: PeerHistory): Peer[] {
    const readRetryTime = ({ vm }: Peer) =>
      history.refusals.get(vm)?.askAgainAt ?? -Infinity;
    const peers = [...this.#listPeers(eventId)]
      .sort((left, right) => readRetryTime(left) - readRetryTime(right) || 0);
    const lenders = peers.filter((peer) => history.lenders.has(peer.vm));
    const others = peers.filter((peer) => !history.lenders.has(peer.vm));
    return peers.flatMap((_, index) =>
      [lenders[index], others[index]].filter((peer) => peer !== undefined)
    );
  }

  /**
   * Sends a loan request and credits the answer. Returns the answer, or undefined
   * if there was none.
   */
  async #requestLoan(
    eventId: EventId,
    input: {
      readonly loan: PendingLoan;
      readonly peer: Peer;
      readonly least: Tokens;
    },
  ): Promise<PeerLoanAnswer | undefined> {
    const { loan, peer, least } = input;
    const { vmIncarnation: borrower, clock } = this.#context;
    // The id is pending before the request is sent, so that a late answer is
    // credited and a duplicate one is not.
    const account = this.#accounts.changeAccount(
      eventId,
      (before) => recordLoanRequest(before, loan),
    );
    const settled = this.#listReported(eventId, peer.vm);
    const answer = await this.#client.lend(peer.address, {
      eventId,
      transferId: loan.transferId,
      wanted: loan.wanted,
      least: Math.min(least, loan.wanted),
      room: computeAccountRoom(account, clock.readMonotonic()),
      borrower,
      ...(settled.length === 0 ? {} : { settled }),
    });
    const history = this.#readHistory(eventId);
    return answer.caseOf<PeerLoanAnswer | undefined>({
      Left: (error) => {
        this.#recordSilence(peer.vm, error);
        return undefined;
      },
      Right: (loanAnswer) => {
        this.#backoffUntil.delete(peer.vm);
        this.#removeReported(eventId, settled);
        this.#creditAnswer(eventId, { loanAnswer, peer, history });
        return loanAnswer;
      },
    });
  }

  #creditAnswer(
    eventId: EventId,
    input: {
      readonly loanAnswer: PeerLoanAnswer;
      readonly peer: Peer;
      readonly history: PeerHistory;
    },
  ): void {
    const { loanAnswer, peer, history } = input;
    const { clock, log } = this.#context;
    const now = clock.readMonotonic();
    const deadline = now + GRANT_TERM;
    history.answeredAt = now;
    // An answer without tokens ends its request as well.
    this.#accounts.changeAccount(
      eventId,
      (account) => receiveLoan(account, { answer: loanAnswer, deadline }),
    );
    if (loanAnswer.tokens === 0) {
      const isRefilling = loanAnswer.refilling === true;
      const backoff = isRefilling ? REFILL_BACKOFF : REFUSAL_BACKOFF;
      history.refusals.set(peer.vm, {
        askAgainAt: now + backoff,
        answer: loanAnswer,
      });
      if (loanAnswer.reserved === 0) history.lenders.delete(peer.vm);
      return;
    }
    history.lenders.add(peer.vm);
    log.info(LogEvent.LoanTaken, {
      [this.#context.budgetField]: eventId,
      lender: peer.vm,
      tokens: loanAnswer.tokens,
    });
  }
}

function hasLent(
  answer: PeerLoanAnswer | undefined,
): answer is PeerLoanAnswer {
  return answer !== undefined && answer.tokens > 0;
}

/** Returns the refusals because of which peers aren't asked now. */
function listRefusals(
  { refusals }: PeerHistory,
  now: MonotonicTime,
): readonly PeerLoanAnswer[] {
  return [...refusals.values()].filter(({ askAgainAt }) => now < askAgainAt)
    .map(({ answer }) => answer);
}

/**
 * Ends the loans that this VM has made and got back as parts of its borrowers'
 * loans.
 */
function settleOwnLoans(account: EventAccount, vm: VmId): EventAccount {
  const settled = listSettledLoans(account, vm);
  return removeReportedLoans(
    settleLoans(account, settled),
    settled.map((loan) => loan.transferId),
  );
}
