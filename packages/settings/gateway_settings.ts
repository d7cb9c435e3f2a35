/**
 * Settings of one gateway (an entry VM that serves routes): its location, the
 * addresses it listens on, the platform's store, and its time limits.
 */
import { z } from "zod";

const ADDRESS_SCHEMA = z.string().regex(
  /^[^:\s]+:\d{1,5}$/,
  "must be HOST:PORT",
);

const MILLIS_SCHEMA = z.number().int().positive();

/** Schema of a gateway's settings file. */
export const GATEWAY_SCHEMA = z.strictObject({
  vm: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  dataCentre: z.string().min(1),
  /** Region of each data centre, by the name of the data centre. */
  regions: z.record(z.string(), z.string()),
  /** Address on which callers connect. */
  callers: ADDRESS_SCHEMA,
  /**
   * Address on which the load balancer checks whether this VM accepts new
   * connections.
   */
  readiness: ADDRESS_SCHEMA,
  /** Address that serves metrics and the state dump; disabled if absent. */
  operators: ADDRESS_SCHEMA.optional(),
  /** Address on which other VMs request loans of tokens; no loans if absent. */
  peers: ADDRESS_SCHEMA.optional(),
  store: z.strictObject({
    address: ADDRESS_SCHEMA,
    /** Maximum number of writes per second of all VMs together. */
    writesPerSecond: z.number().positive().default(600),
  }),
  /** Settings of the customers' token budgets. */
  budgets: z.strictObject({
    /** How long a VM keeps serving while it cannot reach the store. */
    offlineMillis: MILLIS_SCHEMA.default(12_000),
  }).prefault({}),
  retries: z.strictObject({
    /** Additional attempts allowed per request to a service, fleet-wide. */
    ratio: z.number().min(0).max(1).default(0.2),
    /**
     * Additional attempts allowed in ten seconds beyond the ratio, fleet-wide.
     */
    slack: z.number().min(0).default(50),
  }).prefault({}),
  /**
   * Bound on the requests that a cold target gets in any second: what it
   * tolerates times `overage`, and `slack`; not bounded if absent.
   */
  coldTargets: z.strictObject({
    overage: z.number().positive(),
    slack: z.number().min(0),
  }).optional(),
  /** Maximum time until a newly stored configuration must be in use. */
  configurationMillis: MILLIS_SCHEMA.default(3_000),
  /**
   * Maximum time until an evacuation of a data centre must be in effect. They are
   * not read if it is absent.
   */
  evacuationMillis: MILLIS_SCHEMA.optional(),
  /** Time from a stop signal to the forced exit of the process. */
  stopMillis: MILLIS_SCHEMA.default(8_000),
  /** What the machine of the VM has; ample where it is not stated. */
  machine: z.strictObject({
    memoryMegabytes: z.number().positive(),
    /** Maximum number of descriptors that the process may have open. */
    fileDescriptors: z.number().int().positive(),
  }).optional(),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** The settings of one gateway, with defaults filled in. */
export type GatewaySettings = z.infer<typeof GATEWAY_SCHEMA>;
