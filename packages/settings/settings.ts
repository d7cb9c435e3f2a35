/**
 * Settings of one daemon: where it stands, its faces, the platform, its keys.
 * Everything that operators share is in the document, not here.
 */
import { z } from "zod";

const TLS_SCHEMA = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
  /** Authorities that this VM trusts when it calls the same face of others. */
  authorityFile: z.string().optional(),
  /** Whether who calls must show a certificate of these authorities. */
  requireClientCertificate: z.boolean().default(false),
});

const FACE_SCHEMA = z.strictObject({
  host: z.string(),
  /** 0 lets the kernel choose. */
  port: z.number().int().min(0).max(65_535),
  /** Address that others use, when it differs from host and port. */
  advertise: z.string().optional(),
  tls: TLS_SCHEMA.optional(),
});

const SERVICE_SCHEMA = z.strictObject({
  url: z.url({ protocol: /^https?$/ }),
  timeoutMillis: z.number().int().positive().default(2_000),
  tokenFile: z.string().optional(),
});

const LIMITS_SCHEMA = z.strictObject({
  maxBodyBytes: z.number().int().positive().default(4_194_304),
  maxHeaderBytes: z.number().int().min(1_024).default(16_384),
  maxConnections: z.number().int().positive().default(10_000),
  maxOpenRequests: z.number().int().positive().default(5_000),
  slowSenderMillis: z.number().int().positive().default(10_000),
  drainMillis: z.number().int().positive().default(600_000),
});

const INTERVALS_SCHEMA = z.strictObject({
  flushMillis: z.number().int().positive().default(20),
  grantCheckMillis: z.number().int().positive().default(500),
  grantLifeMillis: z.number().int().positive().default(900_000),
  gossipMillis: z.number().int().positive().default(1_000),
  heartbeatMillis: z.number().int().positive().default(60_000),
  documentPollMillis: z.number().int().positive().default(5_000),
  loadReportMillis: z.number().int().positive().default(1_000),
  dutyMillis: z.number().int().positive().default(1_000),
  vmListMillis: z.number().int().positive().default(2_000),
});

/** Shape of a settings file. */
export const SETTINGS_SCHEMA = z.strictObject({
  vm: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  callers: FACE_SCHEMA,
  operators: FACE_SCHEMA,
  peers: FACE_SCHEMA,
  /** Shared key of the entry VMs: a file, or the text itself in tests. */
  peerKeyFile: z.string().optional(),
  peerKey: z.string().min(16).optional(),
  /** SHA-256 hashes, in hexadecimal, of the keys of the fleet's operators. */
  fleetKeyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
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

/** One face of the daemon: an address it listens on. */
export type ServerSettings = z.infer<typeof FACE_SCHEMA>;

/** Where one outside service is. */
export type ServiceSettings = z.infer<typeof SERVICE_SCHEMA>;
