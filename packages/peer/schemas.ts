/** Shapes of what entry VMs say to each other. */
import { z } from "zod";

/** Most spent loans that one request names. */
const MAX_SPENT_LOANS = 100;

/** A loan asked of a peer. */
export const LOAN_REQUEST_SCHEMA = z.object({
  eventId: z.string(),
  transferId: z.string().max(200),
  wanted: z.number().int().nonnegative(),
  least: z.number().int().nonnegative(),
  room: z.number().int().nonnegative().exactOptional(),
  borrower: z.object({ vm: z.string(), incarnation: z.string() }),
  spent: z.array(z.string()).max(MAX_SPENT_LOANS).exactOptional(),
});

/** Most grants that one loan comes from. */
const MAX_LOAN_PARTS = 1_000;

/** What the lender answers; zero tokens are a refusal. */
export const LOAN_ANSWER_SCHEMA = z.object({
  transferId: z.string(),
  tokens: z.number().int().nonnegative(),
  parts: z.array(z.object({
    transferId: z.string(),
    lenderGrantId: z.string(),
    tokens: z.number().int().positive(),
  })).max(MAX_LOAN_PARTS).readonly(),
  reserved: z.number().int().nonnegative(),
  /** Tokens that can't be lent and that the lender gives back to the table. */
  returning: z.number().int().nonnegative().exactOptional(),
});

/** Most rows that a peer reads at once. */
const MAX_PEER_ROWS = 100;

/** Rows asked of a peer's document. */
export const READ_ROWS_SCHEMA = z.object({
  keys: z.array(z.string()).max(MAX_PEER_ROWS),
});

/** A page of rows asked of a peer's document. */
export const SCAN_ROWS_SCHEMA = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive().max(MAX_PEER_ROWS),
});

/** Rows of a peer's document. */
export const ROWS_SCHEMA = z.object({
  rows: z.array(z.object({
    key: z.string(),
    version: z.number().int(),
    value: z.json(),
  })),
  next: z.string().optional(),
});

/**
 * One exchange of news. The parts are checked by the features that they belong
 * to, so that a VM of a newer version may send parts this one does not know.
 */
export const NEWS_SCHEMA = z.object({
  from: z.string(),
  parts: z.record(z.string(), z.json()),
});

/** A peer that another cannot reach. */
export const PROBE_SCHEMA = z.object({ address: z.string() });

/** Most bills in one copy. */
const MAX_COPIED_BILLS = 2_000;

/** Copies of bills that are not durable yet, and word of those that are. */
export const BILLS_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** Numbers rise with each bill of a life. */
  bills: z.array(z.object({
    number: z.number().int(),
    bill: z.object({
      customer: z.string(),
      requestKey: z.string(),
      event: z.string(),
      kind: z.string(),
      tokens: z.number().int().nonnegative(),
      endedAt: z.number(),
    }),
  })).max(MAX_COPIED_BILLS),
  /** Bills with these numbers are durable: their copies may be dropped. */
  durable: z.array(z.number().int()),
});

/** Copies of bills. */
export type PeerBills = z.infer<typeof BILLS_SCHEMA>;

/** A loan asked of a peer. */
export type PeerLoanRequest = z.infer<typeof LOAN_REQUEST_SCHEMA>;

/** What the lender answers. */
export type PeerLoanAnswer = z.infer<typeof LOAN_ANSWER_SCHEMA>;

/** Rows of a peer's document. */
export type PeerRows = z.infer<typeof ROWS_SCHEMA>;

/** One exchange of news, by the names of the features that take part. */
export type PeerGossip = z.infer<typeof NEWS_SCHEMA>;
