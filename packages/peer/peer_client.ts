/** Calls the procedures of other entry VMs, over Node's http. */
import type { Agent } from "node:http";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { LRUCache } from "lru-cache";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import {
  type Millis,
  type PlatformError,
  PlatformErrorKind,
} from "../core/mod.ts";
import {
  createPlatformError,
  describeError,
  sendRequest,
} from "../ports/mod.ts";
import type { PeerRouter } from "./peer_router.ts";
import {
  LOAN_ANSWER_SCHEMA,
  NEWS_SCHEMA,
  type PeerBills,
  type PeerGossip,
  type PeerLoanAnswer,
  type PeerLoanRequest,
  type PeerRows,
  ROWS_SCHEMA,
} from "./schemas.ts";

/** How peers are called. */
export interface PeerClientOptions {
  /** Returns the key that the VM at an address asks for. */
  findKey(address: string): string;
  /** Longest silence of a peer, in milliseconds. */
  readonly timeout: Millis;
  /** Whether the peers' face has TLS. */
  readonly tls: boolean;
  /** Makes the connections; for TLS it has the certificates. */
  readonly agent: Agent;
  /** Is told of the bytes of each call: sent and received. */
  readonly countBytes?: (bytes: number) => void;
}

/** Peers whose clients are kept. */
const MAX_CLIENTS = 1_000;

/** Calls peers by address; each call returns an error rather than throwing. */
export class PeerClient {
  readonly #options: PeerClientOptions;

  readonly #clients = new LRUCache<string, TRPCClient<PeerRouter>>({
    max: MAX_CLIENTS,
  });

  constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  /** Asks a peer for a loan. */
  lend(
    address: string,
    request: PeerLoanRequest,
  ): Promise<Either<PlatformError, PeerLoanAnswer>> {
    const call = this.#connect(address).lend.mutate(request);
    return checkAnswer(call, LOAN_ANSWER_SCHEMA);
  }

  /** Sends news to a peer and returns its news. */
  exchangeNews(
    address: string,
    news: PeerGossip,
  ): Promise<Either<PlatformError, PeerGossip>> {
    const call = this.#connect(address).exchangeNews.mutate(news);
    return checkAnswer(call, NEWS_SCHEMA);
  }

  /** Asks a peer whether it reaches another. */
  probe(
    address: string,
    probed: string,
  ): Promise<Either<PlatformError, boolean>> {
    const call = this.#connect(address).probe.query({ address: probed });
    return checkAnswer(call, z.boolean());
  }

  /** Says whether a peer answers. */
  async ping(address: string): Promise<boolean> {
    const answer = await checkAnswer(
      this.#connect(address).ping.query(),
      z.boolean(),
    );
    return answer.orDefault(false);
  }

  /** Gives a peer copies of bills; resolves right when it has them. */
  keepBills(
    address: string,
    bills: PeerBills,
  ): Promise<Either<PlatformError, unknown>> {
    const call = this.#connect(address).keepBills.mutate(bills);
    return checkAnswer(call, z.unknown());
  }

  /** Reads rows of a peer's document. */
  readRows(
    address: string,
    keys: readonly string[],
  ): Promise<Either<PlatformError, PeerRows>> {
    const call = this.#connect(address).readRows.query({ keys: [...keys] });
    return checkAnswer(call, ROWS_SCHEMA);
  }

  /** Reads a page of rows of a peer's document. */
  scanRows(
    address: string,
    input: { prefix: string; after?: string; limit: number },
  ): Promise<Either<PlatformError, PeerRows>> {
    const call = this.#connect(address).scanRows.query(input);
    return checkAnswer(call, ROWS_SCHEMA);
  }

  /** Closes every idle connection. */
  close(): void {
    this.#options.agent.destroy();
  }

  /** One client for each peer; making one costs more than a call. */
  #connect(address: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = this.#createClient(address);
    this.#clients.set(address, client);
    return client;
  }

  #createClient(address: string): TRPCClient<PeerRouter> {
    const scheme = this.#options.tls ? "https" : "http";
    return createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `${scheme}://${address}`,
          headers: () => ({
            authorization: `Bearer ${this.#options.findKey(address)}`,
          }),
          fetch: (url, init) =>
            this.#fetch(String(url), init as unknown as FetchInit),
        }),
      ],
    });
  }

  /** Carries tRPC's requests over Node's http. */
  async #fetch(url: string, init: FetchInit) {
    const body = init.body ?? "";
    const answer = await sendRequest({
      method: init.method === "POST" ? "POST" : "GET",
      url,
      headers: init.headers,
      body,
      idleTimeout: this.#options.timeout,
      agent: this.#options.agent,
    });
    return answer.caseOf({
      Left: (failure) => {
        throw new Error(failure.detail);
      },
      Right: (whole) => {
        this.#options.countBytes?.(url.length + body.length);
        this.#options.countBytes?.(whole.body.length);
        const text = Buffer.from(whole.body).toString("utf8");
        return {
          ok: whole.status < 400,
          json: () => Promise.resolve(JSON.parse(text)),
        };
      },
    });
  }
}

/** The part of fetch's options that tRPC uses. */
interface FetchInit {
  readonly method: string;
  readonly headers: Record<string, string>;
  readonly body?: string;
}

async function checkAnswer<Value>(
  call: Promise<unknown>,
  schema: z.ZodType<Value>,
): Promise<Either<PlatformError, Value>> {
  try {
    return Right(schema.parse(await call));
  } catch (error) {
    return Left(createPlatformError(
      PlatformErrorKind.AnswerLost,
      describeError(error),
    ));
  }
}
