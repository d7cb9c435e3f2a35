/** The context that all features of one daemon share. */
import type {
  Clock,
  FleetConfiguration,
  Incarnation,
  Kernel,
  RandomSource,
  SliceType,
} from "../core/mod.ts";
import { createEmptyConfiguration } from "../core/mod.ts";
import type { StoreWriter, TablePort } from "../ports/mod.ts";
import type { HttpTargets, ObjectPort, VmListPort } from "../ports/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { EventLog } from "../runtime/mod.ts";
import type { NodeMetrics } from "./node_metrics.ts";

/** Settings, identity, state, platform ports, log and metrics of one daemon. */
export interface NodeContext {
  readonly settings: Settings;
  readonly incarnation: Incarnation;
  readonly kernel: Kernel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly table: TablePort;
  readonly writer: StoreWriter;
  readonly objects: ObjectPort | undefined;
  readonly vmList: VmListPort | undefined;
  readonly targets: HttpTargets;
  readonly log: EventLog;
  readonly metrics: NodeMetrics;
}

/** The current configuration. */
export const CONFIGURATION: SliceType<FleetConfiguration> = {
  name: "configuration",
  createInitial: createEmptyConfiguration,
};

/** Whether a planned stop has begun, so that no new requests are accepted. */
export const DRAINING: SliceType<boolean> = {
  name: "draining",
  createInitial: () => false,
};
