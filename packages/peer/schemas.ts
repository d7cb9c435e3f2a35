/** Schemas of the messages between entry VMs. */
import { z } from "zod";

/** Maximum number of settled loans that one request reports. */
const MAX_REPORTED_LOANS = 100;

/** Request for a loan of tokens. */
export const LOAN_REQUEST_SCHEMA = z.object({
  eventId: z.string(),
  transferId: z.string().max(200),
  wanted: z.number().int().nonnegative(),
  /** Shortfall of a waiting request, in tokens. */
  least: z.number().int().nonnegative(),
  /** Unreserved tokens that the borrower holds; absent if unknown. */
  room: z.number().int().nonnegative().exactOptional(),
  borrower: z.object({ vm: z.string(), incarnation: z.string() }),
  /** Loans from this lender that the borrower has spent or gives back. */
  settled: z.array(z.object({
    transferId: z.string(),
    /**
     * Tokens that the borrower had of the loan, without those that it lent on;
     * all that is left of the loan if absent.
     */
    size: z.number().int().nonnegative().exactOptional(),
    /** Tokens that the lender gets back. */
    unspent: z.number().int().nonnegative(),
  })).max(MAX_REPORTED_LOANS).exactOptional(),
});

/** Maximum number of grants that one loan is taken from. */
const MAX_LOAN_PARTS = 1_000;

/** The lender's answer; zero tokens mean a refusal. */
export const LOAN_ANSWER_SCHEMA = z.object({
  transferId: z.string(),
  tokens: z.number().int().nonnegative(),
  parts: z.array(z.object({
    transferId: z.string(),
    lenderGrantId: z.string(),
    tokens: z.number().int().positive(),
  })).max(MAX_LOAN_PARTS).readonly(),
  /** Tokens reserved by the lender's requests in progress. */
  reserved: z.number().int().nonnegative(),
  /** Tokens that cannot be lent and that the lender returns to the store. */
  returning: z.number().int().nonnegative().exactOptional(),
  /**
   * Whether the lender is taking tokens from the store for this request, so that
   * the borrower should ask again shortly.
   */
  refilling: z.boolean().exactOptional(),
  /** Spending rate of all VMs in tokens per second, as the lender knows it. */
  totalRate: z.number().nonnegative().exactOptional(),
});

/** Maximum number of rows per read of a peer's document. */
const MAX_PEER_ROWS = 100;

/** Request for rows of a peer's document, by key. */
export const READ_ROWS_SCHEMA = z.object({
  keys: z.array(z.string()).max(MAX_PEER_ROWS),
});

/** Request for a page of rows of a peer's document, by key prefix. */
export const SCAN_ROWS_SCHEMA = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive().max(MAX_PEER_ROWS),
});

/** Rows of a peer's document, and where the next page starts. */
export const ROWS_SCHEMA = z.object({
  rows: z.array(z.object({
    key: z.string(),
    version: z.number().int(),
    value: z.json(),
  })),
  next: z.string().optional(),
});

/**
 * One gossip message. Each feature validates its own part, so a VM with a newer
 * version may send parts that this VM does not know.
 */
export const GOSSIP_SCHEMA = z.object({
  from: z.string(),
  parts: z.record(z.string(), z.json()),
});

/** Request to probe a peer that the calling VM cannot reach. */
export const PROBE_SCHEMA = z.object({ address: z.string() });

/** Maximum number of bills in one message. */
const MAX_BILL_COPIES = 2_000;

/** Copies of bills that are not durable yet, and numbers of durable bills. */
export const BILLS_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** Bill numbers increase within an incarnation of the VM. */
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
  })).max(MAX_BILL_COPIES),
  /** Numbers of bills that are durable, so their copies may be deleted. */
  durable: z.array(z.number().int()),
});

/** Maximum number of stream records in one message. */
export const MAX_STREAM_RECORDS = 1_000;

/** The service and the release of the targets that began a stream. */
const STREAM_ORIGIN_SCHEMA = z.object({
  service: z.string(),
  release: z.string(),
});

/** Streams that a VM has begun. */
export const STREAM_RECORDS_SCHEMA = z.object({
  streams: z.array(STREAM_ORIGIN_SCHEMA.extend({ id: z.string() }))
    .max(MAX_STREAM_RECORDS).readonly(),
});

/** Question for what began a stream. */
export const STREAM_QUERY_SCHEMA = z.object({
  id: z.string(),
  service: z.string(),
  /** How long ago the stream may have begun, in milliseconds. */
  period: z.number().nonnegative(),
});

/** What a VM knows of a stream. */
export const STREAM_ANSWER_SCHEMA = z.object({
  /** Absent if the VM has no record of the stream. */
  origin: STREAM_ORIGIN_SCHEMA.exactOptional(),
  /** Releases of the service that the VM has seen in the period. */
  seen: z.object({
    releases: z.array(z.string()).readonly(),
    /** Whether it can't have missed any. */
    isComplete: z.boolean(),
  }),
});

/** Request for the configuration, if the peer has a newer one. */
export const CONFIGURATION_QUERY_SCHEMA = z.object({
  /** Version of the store up to which the calling VM knows all changes. */
  after: z.number().nonnegative(),
  /**
   * The configuration's own version at the calling VM, which a restore of the
   * store doesn't change; -1 if it has none. Absent if it knows of a newer one.
   */
  known: z.number().exactOptional(),
  /**
   * Digest of the text that the calling VM has, if the answer may say what
   * changed since.
   */
  base: z.string().exactOptional(),
  /** Whether the row is left out if it takes long to send. */
  omitsLarge: z.boolean().exactOptional(),
  /** Maximum time to wait for a newer configuration, in milliseconds. */
  wait: z.number().nonnegative(),
});

/** What a VM knows of the configuration. */
export const CONFIGURATION_ANSWER_SCHEMA = z.object({
  /** Version of the store up to which the VM knows all changes. */
  version: z.number().nonnegative(),
  /**
   * Milliseconds since that version was known to be the newest; absent if it
   * never was, or if the newest configuration can't be read.
   */
  age: z.number().nonnegative().exactOptional(),
  /** Milliseconds for which the VM has waited for a newer configuration. */
  held: z.number().nonnegative(),
  /**
   * Whether the store has lately answered the VM's calls; absent from VMs that
   * don't say so.
   */
  reachesStore: z.boolean().exactOptional(),
  /** Own version of the configuration in effect. */
  configuration: z.number().exactOptional(),
  /** The configuration's row, if it has changed since or its own is newer. */
  row: z.object({
    key: z.string(),
    version: z.number().nonnegative(),
    /** The row's text, compressed with gzip, as base64. */
    text: z.base64(),
  }).exactOptional(),
  /** Whether the row was left out although it has changed. */
  isOmitted: z.boolean().exactOptional(),
  /** The same row as what changed since the text that the calling VM has. */
  difference: z.object({
    key: z.string(),
    version: z.number().nonnegative(),
    /** The steps from that text, as JSON, compressed with gzip, as base64. */
    text: z.base64(),
  }).exactOptional(),
});

/** Request for a newer configuration. */
export type PeerConfigurationQuery = z.infer<typeof CONFIGURATION_QUERY_SCHEMA>;

/** What a VM knows of the configuration. */
export type PeerConfigurationAnswer = z.infer<
  typeof CONFIGURATION_ANSWER_SCHEMA
>;

/** Streams that a VM has begun. */
export type PeerStreamRecords = z.infer<typeof STREAM_RECORDS_SCHEMA>;

/** Question for what began a stream. */
export type PeerStreamQuery = z.infer<typeof STREAM_QUERY_SCHEMA>;

/** What a VM knows of a stream. */
export type PeerStreamAnswer = z.infer<typeof STREAM_ANSWER_SCHEMA>;

/** Message with copies of bills. */
export type PeerBills = z.infer<typeof BILLS_SCHEMA>;

/** Request for a loan of tokens. */
export type PeerLoanRequest = z.infer<typeof LOAN_REQUEST_SCHEMA>;

/** The lender's answer to a loan request. */
export type PeerLoanAnswer = z.infer<typeof LOAN_ANSWER_SCHEMA>;

/** Rows of a peer's document, and where the next page starts. */
export type PeerRows = z.infer<typeof ROWS_SCHEMA>;

/** One gossip message, with a part for each feature by its name. */
export type PeerGossip = z.infer<typeof GOSSIP_SCHEMA>;
