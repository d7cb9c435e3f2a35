/** The daemon as a library. */
export type { DaemonOptions, RunningDaemon } from "./daemon.ts";
export { startDaemon } from "./daemon.ts";
export type { EventLog, LogFields } from "./event_log.ts";
export { createNodeMetrics } from "./node_metrics.ts";
export { createEventLog, createSilentLog, LogEvent } from "./event_log.ts";
