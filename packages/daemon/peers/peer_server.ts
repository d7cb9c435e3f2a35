/** Implements the procedures that entry VMs call on each other. */
import type { Loans } from "../../lending/mod.ts";
import type {
  PeerBills,
  PeerClient,
  PeerGossip,
  PeerHandlers,
  PeerLoanAnswer,
  PeerLoanRequest,
  PeerRows,
} from "../../peer/mod.ts";
import type { BillCopies } from "../features/bill_copies.ts";
import {
  createPeerRows,
  type DocumentFollower,
} from "../features/document_follower.ts";
import type { Membership } from "../features/membership.ts";

/** Features that carry out the procedures. */
export interface PeerServerFeatures {
  readonly loans: Loans;
  readonly copies: BillCopies;
  readonly follower: DocumentFollower;
  readonly membership: Membership;
  readonly client: PeerClient;
}

/** Delegates each procedure to the feature that carries it out. */
export class PeerServer implements PeerHandlers {
  readonly #features: PeerServerFeatures;

  constructor(features: PeerServerFeatures) {
    this.#features = features;
  }

  lend(request: PeerLoanRequest): PeerLoanAnswer {
    return this.#features.loans.lend(request);
  }

  exchangeNews(gossip: PeerGossip): PeerGossip {
    return this.#features.membership.answerGossip(gossip);
  }

  probe(address: string): Promise<boolean> {
    return this.#features.client.ping(address);
  }

  keepBills(input: PeerBills): void {
    this.#features.copies.keep(input);
  }

  async readRows(keys: readonly string[]): Promise<PeerRows> {
    const reader = this.#features.follower.createReader();
    const answer = await reader.read(keys);
    return createPeerRows(answer.map((rows) => ({ rows })));
  }

  async scanRows(input: {
    readonly prefix: string;
    readonly after?: string | undefined;
    readonly limit: number;
  }): Promise<PeerRows> {
    const reader = this.#features.follower.createReader();
    const { prefix, after, limit } = input;
    const options = after === undefined ? { limit } : { after, limit };
    return createPeerRows(await reader.scan(prefix, options));
  }
}
