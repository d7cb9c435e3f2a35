/** Public interface of the daemon. */
export type { DaemonOptions, RunningDaemon } from "./daemon.ts";
export { startDaemon } from "./daemon.ts";
export type { EventLog, LogFields } from "../runtime/mod.ts";
export { createNodeMetrics } from "./node_metrics.ts";
export { createEventLog, createSilentLog, LogEvent } from "../runtime/mod.ts";
