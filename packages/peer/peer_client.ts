/** tRPC client for other entry VMs, over Node's `http`. */
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
import type { GatewayRouter, PeerRouter } from "./peer_router.ts";
import {
  CONFIGURATION_ANSWER_SCHEMA,
  GOSSIP_SCHEMA,
  LOAN_ANSWER_SCHEMA,
  type PeerBills,
  type PeerConfigurationAnswer,
  type PeerConfigurationQuery,
  type PeerGossip,
  type PeerLoanAnswer,
  type PeerLoanRequest,
  type PeerRows,
  type PeerStreamAnswer,
  type PeerStreamQuery,
  type PeerStreamRecords,
  ROWS_SCHEMA,
  STREAM_ANSWER_SCHEMA,
} from "./schemas.ts";

/** Options of the peer client. */
export interface PeerClientOptions {
  /** Returns the bearer key that the VM at an address requires. */
  findKey(address: string): string;
  /** Maximum time without data from a peer, in milliseconds. */
  readonly timeout: Millis;
  /** Maximum time to connect to a peer, whose machine may be silent. */
  readonly connectTimeout: Millis;
  /**
   * Maximum time to wait for one of the agent's connections to a peer; that of
   * connecting if absent.
   */
  readonly queueTimeout?: Millis;
  /** Whether the peer servers use TLS. */
  readonly tls: boolean;
  /** HTTP agent for all connections; for TLS it holds the certificates. */
  readonly agent: Agent;
  /**
   * Called after each answer, first with the size of the request's URL and body
   * and then with the size of the answer's body.
   */
  readonly countBytes?: (bytes: number) => void;
}

/** Maximum number of cached tRPC clients, one per peer. */
const MAX_CLIENTS = 1_000;

/** Calls peers by address. Calls return errors and never throw. */
export class PeerClient {
  readonly #options: PeerClientOptions;

  readonly #clients = new LRUCache<string, TRPCClient<PeerRouter>>({
    max: MAX_CLIENTS,
  });

  constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  /** Requests a loan of tokens from a peer. */
  lend(
    address: string,
    request: PeerLoanRequest,
  ): Promise<Either<PlatformError, PeerLoanAnswer>> {
    const call = this.#connect(address).lend.mutate(request);
    return checkAnswer(call, LOAN_ANSWER_SCHEMA);
  }

  /** Sends gossip to a peer and returns the peer's gossip. */
  exchangeNews(
    address: string,
    gossip: PeerGossip,
  ): Promise<Either<PlatformError, PeerGossip>> {
    const call = this.#connect(address).exchangeNews.mutate(gossip);
    return checkAnswer(call, GOSSIP_SCHEMA);
  }

  /** Indirect probe: asks a peer whether it can reach another VM. */
  probe(
    address: string,
    probed: string,
  ): Promise<Either<PlatformError, boolean>> {
    const call = this.#connect(address).probe.query({ address: probed });
    return checkAnswer(call, z.boolean());
  }

  /** Returns whether a peer answers. */
  async ping(address: string): Promise<boolean> {
    const answer = await checkAnswer(
      this.#connect(address).ping.query(),
      z.boolean(),
    );
    return answer.orDefault(false);
  }

  /** Sends copies of bills to a peer; resolves `Right` once it holds them. */
  keepBills(
    address: string,
    bills: PeerBills,
  ): Promise<Either<PlatformError, unknown>> {
    const call = this.#connect(address).keepBills.mutate(bills);
    return checkAnswer(call, z.unknown());
  }

  /** Reads rows of a peer's copy of the document, by key. */
  readRows(
    address: string,
    keys: readonly string[],
  ): Promise<Either<PlatformError, PeerRows>> {
    const call = this.#connect(address).readRows.query({ keys: [...keys] });
    return checkAnswer(call, ROWS_SCHEMA);
  }

  /** Reads a page of rows of a peer's copy of the document, by prefix. */
  scanRows(
    address: string,
    input: { prefix: string; after?: string; limit: number },
  ): Promise<Either<PlatformError, PeerRows>> {
    const call = this.#connect(address).scanRows.query(input);
    return checkAnswer(call, ROWS_SCHEMA);
  }

  /** Sends records of streams to a gateway; `Right` once it keeps them. */
  keepStreams(
    address: string,
    records: PeerStreamRecords,
  ): Promise<Either<PlatformError, unknown>> {
    const call = this.#connectGateway(address).keepStreams.mutate(records);
    return checkAnswer(call, z.unknown());
  }

  /** Asks a gateway what it knows of a stream. */
  findStream(
    address: string,
    query: PeerStreamQuery,
  ): Promise<Either<PlatformError, PeerStreamAnswer>> {
    const call = this.#connectGateway(address).findStream.query(query);
    return checkAnswer(call, STREAM_ANSWER_SCHEMA);
  }

  /** Asks a gateway for a newer configuration. */
  followConfiguration(
    address: string,
    query: PeerConfigurationQuery,
  ): Promise<Either<PlatformError, PeerConfigurationAnswer>> {
    const call = this.#connectGateway(address)
      .followConfiguration.query(query);
    return checkAnswer(call, CONFIGURATION_ANSWER_SCHEMA);
  }

  /** Closes all connections of the agent, including those in use. */
  close(): void {
    this.#options.agent.destroy();
  }

  /** Returns the cached client of a peer; creating one costs more than a call. */
  #connect(address: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = this.#createClient(address);
    this.#clients.set(address, client);
    return client;
  }

  /** The same client, with the procedures that only gateways offer. */
  #connectGateway(address: string): TRPCClient<GatewayRouter> {
    return this.#connect(address) as unknown as TRPCClient<GatewayRouter>;
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

  /** Implements the part of `fetch` that tRPC uses, over Node's `http`. */
  async #fetch(url: string, init: FetchInit) {
    const body = init.body ?? "";
    const { connectTimeout, queueTimeout } = this.#options;
    const answer = await sendRequest({
      method: init.method === "POST" ? "POST" : "GET",
      url,
      headers: init.headers,
      body,
      idleTimeout: this.#options.timeout,
      connectTimeout,
      ...(queueTimeout === undefined ? {} : { queueTimeout }),
      agent: this.#options.agent,
    });
    return answer.caseOf({
      Left: (failure) => {
        throw new Error(failure.detail);
      },
      Right: (received) => {
        this.#options.countBytes?.(url.length + body.length);
        this.#options.countBytes?.(received.body.length);
        const text = Buffer.from(received.body).toString("utf8");
        return {
          ok: received.status < 400,
          json: () => Promise.resolve(JSON.parse(text)),
        };
      },
    });
  }
}

/** The `fetch` options that tRPC uses. */
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
