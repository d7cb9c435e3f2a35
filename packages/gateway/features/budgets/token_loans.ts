/**
 * Loans of tokens between VMs, used when the store is unavailable or when the
 * budget has no tokens left that no VM holds. Other VMs may hold unused tokens,
 * and can often be reached when the store can't.
 */
import type {
  CustomerId,
  MonotonicTime,
  Tokens,
  VmId,
} from "../../../core/mod.ts";
import {
  type BorrowRound,
  chooseHomes,
  choosePeers,
  type LoanAccountAccess,
  Loans,
  type Peer,
  type PeerWithRegion,
} from "../../../lending/mod.ts";
import type { PeerLoanAnswer, PeerLoanRequest } from "../../../peer/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { PeerAccess } from "../peers/peer_access.ts";
import type { PeerList } from "../peers/peer_list.ts";

/** Returns the answer to a request that only reports settled loans. */
function createEmptyAnswer(transferId: string): PeerLoanAnswer {
  return { transferId, tokens: 0, parts: [], reserved: 0 };
}

/** What a lender with too few tokens does for its borrower. */
export interface LendPreparation {
  /** Standby tokens that go back to the store, where the borrower takes them. */
  readonly returning: Tokens;
  /**
   * Whether an exchange is in progress that takes tokens for borrowers or returns
   * tokens to the store.
   */
  readonly isRefilling: boolean;
}

/** The preparation of a lender that has tokens, or can't get any. */
export const NOTHING_PREPARED: LendPreparation = {
  returning: 0,
  isRefilling: false,
};

/** The accounts that loans are made from and credited to. */
export interface LoanAccounts extends LoanAccountAccess {
  /**
   * Tries to make tokens available for a loan, from the store or from standby
   * grants.
   */
  prepareToLend(
    customer: CustomerId,
    request: { readonly borrower: VmId; readonly tokens: Tokens },
  ): Promise<LendPreparation>;
  /** Whether this VM makes loans now. */
  mayLend(): boolean;
  /** Counts lent tokens as spending by this VM. */
  recordLent(customer: CustomerId, tokens: Tokens): void;
  /** Returns the other VMs that hold a customer's tokens, by the budget row. */
  listHolders(customer: CustomerId): readonly VmId[];
  /** Whether this VM holds a customer's tokens ahead of need. */
  isHolder(customer: CustomerId): boolean;
  /** Returns the spending rate of all VMs, as far as known. */
  computeTotalRate(customer: CustomerId): number;
}

/** Requests loans from other VMs and answers their requests. */
export class TokenLoans {
  readonly #context: GatewayContext;
  readonly #accounts: LoanAccounts;
  readonly #peers: PeerList;
  readonly #loans: Loans;
  /** Cache of customers' home VMs, computed from {@link #homesPeers}. */
  readonly #homes = new Map<CustomerId, readonly VmId[]>();
  #homesPeers: readonly PeerWithRegion[] | undefined;

  constructor(
    context: GatewayContext,
    input: { readonly accounts: LoanAccounts; readonly peers: PeerAccess },
  ) {
    const { accounts, peers } = input;
    this.#context = context;
    this.#accounts = accounts;
    this.#peers = peers.list;
    const { clock, log, vm, incarnation } = context;
    this.#loans = new Loans(
      {
        clock,
        log,
        vmIncarnation: { vm, incarnation },
        budgetField: "customer",
      },
      {
        book: accounts,
        client: peers.client,
        listPeers: (customer) => this.#choosePeers(customer),
        listLenders: () => this.#peers.listPeers(),
      },
    );
  }

  /** Answers the request of another VM for a loan. */
  async lend(request: PeerLoanRequest): Promise<PeerLoanAnswer> {
    const { eventId, least } = request;
    // Before more is taken from the store: what comes back may be enough. It
    // counts as spending undone.
    this.#accounts.recordLent(eventId, -this.#loans.settle(request));
    const empty = createEmptyAnswer(request.transferId);
    if (request.wanted === 0) return empty;
    const { returning, isRefilling } = await this.#accounts.prepareToLend(
      eventId,
      { borrower: request.borrower.vm, tokens: least },
    );
    const answer = this.#accounts.mayLend() ? this.#loans.lend(request) : empty;
    this.#accounts.recordLent(eventId, answer.tokens);
    this.#context.metrics.tokensLent.inc(answer.tokens);
    const unreported = this.#loans.sumUnreported(eventId);
    return {
      ...answer,
      returning: returning + unreported,
      ...(isRefilling && answer.tokens < least ? { refilling: true } : {}),
      totalRate: this.#accounts.computeTotalRate(eventId),
    };
  }

  /** Returns the number of known VMs, this one included. */
  countVms(): number {
    return this.#peers.listPeers().length + 1;
  }

  /** Whether enough VMs are known to tell which of them are home VMs. */
  get arePeersSettled(): boolean {
    return this.#peers.isSettled;
  }

  /**
   * Whether this VM is a home VM of a customer: one of the VMs that hold its
   * tokens for their region and lend them to the others.
   */
  isHome(customer: CustomerId): boolean {
    return this.#findHomes(customer).includes(this.#context.vm);
  }

  /**
   * Whether all other holders of a customer's tokens are among the peers that
   * loans are requested from, and no such peer has recently left a request
   * unanswered. Once no peer is left to ask, all holders have then answered.
   */
  haveAllHoldersAnswered(customer: CustomerId, step: BorrowRound): boolean {
    if (step.unresponsivePeers > 0) return false;
    const asked = new Set(this.#choosePeers(customer).map((peer) => peer.vm));
    return this.#accounts.listHolders(customer).every((vm) => asked.has(vm));
  }

  /**
   * Whether all home VMs of this VM's region that it asks for loans have recently
   * left a request unanswered.
   */
  areHomesSilent(customer: CustomerId): boolean {
    const { region, clock } = this.#context;
    const now = clock.readMonotonic();
    const homes = new Set(this.#findHomes(customer));
    const local = this.#peers.listPeers()
      .filter((peer) => peer.region === region && homes.has(peer.vm));
    return local.length > 0 &&
      local.every(({ vm }) => this.#loans.isSilent(vm, now));
  }

  /**
   * Asks the next peers for the tokens that a waiting request is short of.
   * Peers that were asked at or after `since` are skipped.
   */
  borrow(
    customer: CustomerId,
    input: { readonly missing: Tokens; readonly since: MonotonicTime },
  ): Promise<BorrowRound> {
    // A VM that is not a holder borrows only the shortfall of one request, from
    // one peer at a time.
    const need = this.#accounts.isHolder(customer)
      ? input
      : { ...input, target: input.missing, fanout: 1 };
    return this.#loans.borrow(customer, need);
  }

  /** Lets the next call of {@link borrow} ask the peers that have refused. */
  dropRefusals(customer: CustomerId): void {
    this.#loans.dropRefusals(customer);
  }

  /**
   * Gives a customer's loans that no request uses back to their lenders, except
   * for `keep` tokens.
   */
  giveBack(customer: CustomerId, keep: Tokens): Promise<void> {
    return this.#loans.giveBack(customer, keep);
  }

  #choosePeers(customer: CustomerId): readonly Peer[] {
    const holders = this.#accounts.listHolders(customer);
    const homes = this.#accounts.isHolder(customer)
      ? []
      : this.#findHomes(customer);
    return choosePeers(this.#peers.listPeers(), {
      region: this.#context.region,
      holders: [...homes, ...holders.filter((vm) => !homes.includes(vm))],
    });
  }

  /** Returns a customer's home VMs in all regions, this VM's region first. */
  #findHomes(customer: CustomerId): readonly VmId[] {
    const peers = this.#peers.listPeers();
    if (peers !== this.#homesPeers) {
      this.#homesPeers = peers;
      this.#homes.clear();
    }
    const known = this.#homes.get(customer);
    if (known !== undefined) return known;
    const { vm, region } = this.#context;
    const homes = chooseHomes(customer, {
      self: { vm, region },
      others: peers,
    });
    this.#homes.set(customer, homes);
    return homes;
  }
}
