/** The procedures that an entry VM offers to the others, on tRPC. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { initTRPC, TRPCError } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  BILLS_SCHEMA,
  LOAN_REQUEST_SCHEMA,
  NEWS_SCHEMA,
  type PeerBills,
  type PeerGossip,
  type PeerLoanAnswer,
  type PeerLoanRequest,
  type PeerRows,
  PROBE_SCHEMA,
  READ_ROWS_SCHEMA,
  SCAN_ROWS_SCHEMA,
} from "./schemas.ts";

/** What answers the procedures. */
export interface PeerHandlers {
  /** Debits a loan and returns it, or zero tokens. */
  lend(request: PeerLoanRequest): PeerLoanAnswer | Promise<PeerLoanAnswer>;
  /** Takes a peer's news and returns this VM's. */
  exchangeNews(news: PeerGossip): PeerGossip;
  /** Says whether this VM reaches a peer, for one that does not. */
  probe(address: string): Promise<boolean>;
  /** Keeps bills of a peer until it says that they are durable. */
  keepBills(input: PeerBills): void;
  readRows(keys: readonly string[]): Promise<PeerRows>;
  scanRows(
    input: {
      readonly prefix: string;
      readonly after?: string | undefined;
      readonly limit: number;
    },
  ): Promise<PeerRows>;
}

interface PeerContext {
  readonly trusted: boolean;
}

/** Largest body of one call, in bytes. */
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

/** Returns the tRPC router of a VM. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    lend: createLendProcedure(handlers),
    exchangeNews: trustedProcedure.input(NEWS_SCHEMA)
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

/** Returns the part of the router that VMs need which only lend tokens. */
export function createLoanRouter(handlers: Pick<PeerHandlers, "lend">) {
  return trpc.router({ lend: createLendProcedure(handlers) });
}

/** The router's type, which clients are typed by. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Returns the HTTP handler of the peers' face, whole or of its loans only. */
export function createPeerHandler(
  router: PeerRouter | ReturnType<typeof createLoanRouter>,
  peerKey: string,
): (request: IncomingMessage, response: ServerResponse) => void {
  return createHTTPHandler({
    router,
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({
      trusted: isPeerKey(req.headers.authorization, peerKey),
    }),
  });
}

/** Compares in constant time, whatever the lengths. */
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
