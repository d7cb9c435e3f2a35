/**
 * Loans of tokens between VMs, for when the table is away or has nothing left:
 * what other VMs hold is as good, and they can often be reached when the table
 * can't.
 */
import { Agent, createServer, type Server } from "node:http";
import type {
  CustomerId,
  Millis,
  MonotonicTime,
  Tokens,
  Undo,
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
import {
  createLoanRouter,
  createPeerHandler,
  PeerClient,
} from "../../../peer/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { PeerList } from "./peer_list.ts";

/**
 * Longest silence of a peer: a new connection and a call between regions, each
 * with a margin. Callers wait for it.
 */
const PEER_TIMEOUT: Millis = 300;

/** Connections kept to one peer; a call may wait for the table there. */
const MAX_SOCKETS_PER_PEER = 4;

/** Accounts that loans are made from and credited to. */
export interface LoanAccounts extends LoanAccountAccess {
  /**
   * Makes room for a loan where tokens are kept back that may be used now;
   * returns those that go back to the table instead.
   */
  prepareToLend(customer: CustomerId, tokens: Tokens): Promise<Tokens>;
  /** Counts tokens that were lent as drawn here. */
  recordLent(customer: CustomerId, tokens: Tokens): void;
  /** Returns the other VMs that hold a customer's tokens, by its row. */
  listHolders(customer: CustomerId): readonly VmId[];
}

/** Asks other VMs for loans and answers them. */
export class TokenLoans {
  readonly #context: GatewayContext;
  readonly #accounts: LoanAccounts;
  readonly #peers: PeerList;
  readonly #client: PeerClient;
  readonly #loans: Loans;
  /** Homes of customers among the peers of {@link #homesOf}. */
  readonly #homes = new Map<CustomerId, readonly VmId[]>();
  #homesOf: readonly PeerWithRegion[] | undefined;

  constructor(context: GatewayContext, accounts: LoanAccounts) {
    this.#context = context;
    this.#accounts = accounts;
    this.#peers = new PeerList(context);
    this.#client = new PeerClient({
      findKey: (address) => this.#peers.findKey(address),
      timeout: PEER_TIMEOUT,
      tls: false,
      agent: new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_PEER }),
    });
    const { clock, log, vm, incarnation } = context;
    this.#loans = new Loans(
      { clock, log, life: { vm, incarnation }, budgetField: "customer" },
      {
        book: accounts,
        client: this.#client,
        listPeers: (customer) => this.#choosePeers(customer),
      },
    );
  }

  /** Registers what the list of peers needs. */
  register(): Undo {
    const undo = this.#peers.register();
    return () => {
      undo();
      this.#client.close();
    };
  }

  /** Returns the server that other VMs ask. */
  createServer(): Server {
    const router = createLoanRouter({
      lend: async (request) => {
        const { eventId, least } = request;
        const returning = await this.#accounts.prepareToLend(eventId, least);
        const answer = this.#loans.lend(request);
        this.#accounts.recordLent(eventId, answer.tokens);
        this.#context.metrics.tokensLent.inc(answer.tokens);
        return { ...answer, returning };
      },
    });
    return createServer(createPeerHandler(router, this.#peers.key));
  }

  /** Tells the other VMs where the server is. */
  announce(address: string): Promise<void> {
    return this.#peers.announce(address);
  }

  /** Returns the number of VMs that are known, this one among them. */
  countVms(): number {
    return this.#peers.listPeers().length + 1;
  }

  /** Whether this VM keeps tokens of a customer for its region. */
  isHome(customer: CustomerId): boolean {
    return this.#readHomes(customer).includes(this.#context.vm);
  }

  /** Whether all VMs that hold a customer's tokens answered in a round. */
  hasHeardAll(customer: CustomerId, step: BorrowRound): boolean {
    if (step.silentPeers > 0) return false;
    const asked = new Set(this.#choosePeers(customer).map((peer) => peer.vm));
    return this.#accounts.listHolders(customer).every((vm) => asked.has(vm));
  }

  /**
   * Asks the next peers once for what a customer's account lacks, of those that
   * were not asked since a time.
   */
  borrow(
    customer: CustomerId,
    input: { readonly missing: Tokens; readonly since: MonotonicTime },
  ): Promise<BorrowRound> {
    // Who keeps no tokens borrows what one request lacks, of one home.
    const need = this.isHome(customer)
      ? input
      : { ...input, target: input.missing, fanout: 1 };
    return this.#loans.borrow(customer, need);
  }

  #choosePeers(customer: CustomerId): readonly Peer[] {
    const holders = this.#accounts.listHolders(customer);
    const homes = this.isHome(customer) ? [] : this.#readHomes(customer);
    return choosePeers(this.#peers.listPeers(), {
      region: this.#context.region,
      holders: [...homes, ...holders.filter((vm) => !homes.includes(vm))],
    });
  }

  /** Returns the homes in all regions, this VM's region first. */
  #readHomes(customer: CustomerId): readonly VmId[] {
    const peers = this.#peers.listPeers();
    if (peers !== this.#homesOf) {
      this.#homesOf = peers;
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
