/** The context that all components of a gateway share. */
import type {
  Clock,
  Incarnation,
  Kernel,
  RandomSource,
  RegionId,
  VmId,
} from "../core/mod.ts";
import type { EventLog } from "../runtime/mod.ts";
import type { GatewaySettings } from "../settings/mod.ts";
import type { Dialect } from "./dialect.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** Settings, identity and services of one gateway process. */
export interface GatewayContext {
  /** Replaced when the settings file has changed. */
  settings: GatewaySettings;
  readonly vm: VmId;
  /**
   * Region of the VM's data centre; undefined if the settings name none. It is
   * replaced with the settings.
   */
  region: RegionId | undefined;
  readonly incarnation: Incarnation;
  readonly dialect: Dialect;
  readonly kernel: Kernel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}
