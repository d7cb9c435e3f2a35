/**
 * Settings of one daemon: its location, the servers it runs, the services of
 * the platform, and its keys. Configuration that applies to the whole fleet is
 * in the operators' document instead.
 */
import { z } from "zod";

const TLS_SCHEMA = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  /**
   * File with the certificate authorities that this VM trusts when it connects
   * to the same server of other VMs.
   */
  authorityFile: z.string().optional(),
  /** Whether clients must present a certificate issued by these authorities. */
  requireClientCertificate: z.boolean().default(false),
});

const SERVER_SCHEMA = z.strictObject({
  host: z.string(),
  /** Port to listen on; with 0 the operating system chooses a free one. */
  port: z.number().int().min(0).max(65_535),
  /** Address that clients connect to, if it differs from host and port. */
  advertise: z.string().optional(),
  tls: TLS_SCHEMA.optional(),
});

const SERVICE_SCHEMA = z.strictObject({
  url: z.url({ protocol: /^https?$/ }),
  timeoutMillis: z.number().int().positive().default(2_000),
  /** File with the bearer token for the service. */
  tokenFile: z.string().optional(),
});

/** Limits on connections, requests and a planned stop; times in milliseconds. */
const LIMITS_SCHEMA = z.strictObject({
  maxBodyBytes: z.number().int().positive().default(4_194_304),
  maxHeaderBytes: z.number().int().min(1_024).default(16_384),
  maxConnections: z.number().int().positive().default(10_000),
  /** Maximum number of requests in progress at a time. */
  maxOpenRequests: z.number().int().positive().default(5_000),
  /** Maximum time in which a caller must send the body of its request. */
  slowSenderMillis: z.number().int().positive().default(10_000),
  /** Maximum time that a planned stop waits for requests in progress. */
  drainMillis: z.number().int().positive().default(600_000),
});

/** Intervals and delays of background work, in milliseconds. */
const INTERVALS_SCHEMA = z.strictObject({
  /** Time that a write to the store waits to be grouped with others. */
  flushMillis: z.number().int().positive().default(20),
  /** Interval at which budget accounts that are due are processed. */
  grantCheckMillis: z.number().int().positive().default(500),
  grantLifeMillis: z.number().int().positive().default(900_000),
  /** Interval of gossip with other VMs. */
  gossipMillis: z.number().int().positive().default(1_000),
  /** Interval at which this VM writes its heartbeat row. */
  heartbeatMillis: z.number().int().positive().default(60_000),
  /** Interval at which the store is polled for a newer document. */
  documentPollMillis: z.number().int().positive().default(5_000),
  /** Interval at which load reports of targets are read. */
  loadReportMillis: z.number().int().positive().default(1_000),
  /**
   * Interval at which the duties for services are acquired, renewed and executed.
   */
  dutyMillis: z.number().int().positive().default(1_000),
  /** Interval at which the VM list of the platform is read. */
  vmListMillis: z.number().int().positive().default(2_000),
});

/** Schema of a daemon's settings file. */
export const SETTINGS_SCHEMA = z.strictObject({
  vm: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  callers: SERVER_SCHEMA,
  operators: SERVER_SCHEMA,
  peers: SERVER_SCHEMA,
  /**
   * Key that the entry VMs share: as a file, or in tests as the text itself.
   */
  peerKeyFile: z.string().optional(),
  peerKey: z.string().min(16).optional(),
  /** Hexadecimal SHA-256 hashes of the keys of the fleet's operators. */
  fleetKeyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  /** Addresses of peers that are contacted first when the VM joins. */
  seeds: z.array(z.string()).default([]),
  platform: z.strictObject({
    table: SERVICE_SCHEMA,
    objects: SERVICE_SCHEMA.optional(),
    vmList: SERVICE_SCHEMA.optional(),
  }),
  limits: LIMITS_SCHEMA.prefault({}),
  intervals: INTERVALS_SCHEMA.prefault({}),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** The settings of one daemon, with defaults filled in. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/** Settings of one HTTP server of the daemon. */
export type ServerSettings = z.infer<typeof SERVER_SCHEMA>;

/** Settings for calls to one service of the platform. */
export type ServiceSettings = z.infer<typeof SERVICE_SCHEMA>;
