/** tRPC router with the procedures that an entry VM offers to its peers. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { initTRPC, TRPCError } from "@trpc/server";
import { createRouterHandler } from "./peer_http_handler.ts";
import {
  BILLS_SCHEMA,
  CONFIGURATION_QUERY_SCHEMA,
  GOSSIP_SCHEMA,
  LOAN_REQUEST_SCHEMA,
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
  PROBE_SCHEMA,
  READ_ROWS_SCHEMA,
  SCAN_ROWS_SCHEMA,
  STREAM_QUERY_SCHEMA,
  STREAM_RECORDS_SCHEMA,
} from "./schemas.ts";

/** Implementations of the procedures. */
export interface PeerHandlers {
  /** Lends tokens to a peer; an answer with zero tokens is a refusal. */
  lend(request: PeerLoanRequest): PeerLoanAnswer | Promise<PeerLoanAnswer>;
  /** Applies a peer's gossip and returns this VM's. */
  exchangeNews(gossip: PeerGossip): PeerGossip;
  /** Returns whether this VM reaches a peer that the calling VM cannot reach. */
  probe(address: string): Promise<boolean>;
  /** Stores copies of a peer's bills until it reports them as durable. */
  keepBills(input: PeerBills): void;
  /** Reads rows of this VM's copy of the document, by key. */
  readRows(keys: readonly string[]): Promise<PeerRows>;
  /** Reads a page of rows of this VM's copy of the document, by prefix. */
  scanRows(
    input: {
      readonly prefix: string;
      readonly after?: string | undefined;
      readonly limit: number;
    },
  ): Promise<PeerRows>;
}

interface PeerContext {
  /** Whether the calling VM sent the shared peer key. */
  readonly trusted: boolean;
}

/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 1_048_576;

const trpc = initTRPC.context<PeerContext>().create();

const trustedProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.trusted) {
    throw new TRPCError({
      code: "UNAUTHORIZED",
      message: "Send the entry VMs' shared key.",
    });
  }
  return next();
});

function createLendProcedure(handlers: Pick<PeerHandlers, "lend">) {
  return trustedProcedure.input(LOAN_REQUEST_SCHEMA)
    .mutation(({ input }) => handlers.lend(input));
}

/** Creates a VM's tRPC router with all procedures. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    lend: createLendProcedure(handlers),
    exchangeNews: trustedProcedure.input(GOSSIP_SCHEMA)
      .mutation(({ input }) => handlers.exchangeNews(input)),
    probe: trustedProcedure.input(PROBE_SCHEMA)
      .query(({ input }) => handlers.probe(input.address)),
    ping: trustedProcedure.query(() => true),
    keepBills: trustedProcedure.input(BILLS_SCHEMA)
      .mutation(({ input }) => handlers.keepBills(input)),
    readRows: trustedProcedure.input(READ_ROWS_SCHEMA)
      .query(({ input }) => handlers.readRows(input.keys)),
    scanRows: trustedProcedure.input(SCAN_ROWS_SCHEMA)
      .query(({ input }) => handlers.scanRows(input)),
  });
}

/** Implementations of the procedures of a gateway. */
export interface GatewayPeerHandlers extends Pick<PeerHandlers, "lend"> {
  /** Stores records of streams that a peer has begun. */
  keepStreams(records: PeerStreamRecords): void;
  /** Returns what this VM knows of a stream that a peer was asked to resume. */
  findStream(query: PeerStreamQuery): PeerStreamAnswer;
  /** Returns the configuration, as soon as it is newer than the caller's. */
  followConfiguration(
    query: PeerConfigurationQuery,
  ): Promise<PeerConfigurationAnswer>;
}

/** Creates the router of a gateway, with the procedures that it offers. */
export function createGatewayRouter(handlers: GatewayPeerHandlers) {
  return trpc.router({
    lend: createLendProcedure(handlers),
    keepStreams: trustedProcedure.input(STREAM_RECORDS_SCHEMA)
      .mutation(({ input }) => handlers.keepStreams(input)),
    findStream: trustedProcedure.input(STREAM_QUERY_SCHEMA)
      .query(({ input }) => handlers.findStream(input)),
    followConfiguration: trustedProcedure.input(CONFIGURATION_QUERY_SCHEMA)
      .query(({ input }) => handlers.followConfiguration(input)),
  });
}

/** Type of the full router, from which the clients' types are derived. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Type of a gateway's router. */
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;

/** Creates the HTTP handler that serves a router. */
export function createPeerHandler(
  router: PeerRouter | GatewayRouter,
  peerKey: string,
): (request: IncomingMessage, response: ServerResponse) => void {
  return createRouterHandler({
    router,
    maxBodyBytes: MAX_BODY_BYTES,
    createContext: ({ headers }) => ({
      trusted: isPeerKey(headers.authorization, peerKey),
    }),
  });
}

/**
 * Returns whether an Authorization header holds the peer key as bearer token.
 * The keys are compared in constant time, whatever their lengths.
 */
export function isPeerKey(
  authorization: string | undefined,
  peerKey: string,
): boolean {
  const given = /^Bearer (.+)$/.exec(authorization ?? "")?.[1] ?? "";
  return timingSafeEqual(computeDigest(given), computeDigest(peerKey));
}

function computeDigest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
