/** Long-lived processes on js-csp, and structured logs. */
export type { EventLog, EventLogOptions, LogFields } from "./event_log.ts";
export {
  createErrorReporter,
  createEventLog,
  createSilentLog,
  formatLine,
  LogEvent,
} from "./event_log.ts";
export type { LeftOut, LineLimits } from "./line_limit.ts";
export { LineLimit, LineRank } from "./line_limit.ts";
export type { WriteBytes } from "./line_sink.ts";
export { createDescriptorSink, LineSink } from "./line_sink.ts";
export type {
  BackgroundProcess,
  OnDemandOptions,
  PeriodicOptions,
} from "./processes.ts";
export { awaitPromise, startOnDemand, startPeriodic } from "./processes.ts";
export {
  createBadRequest,
  createRefusal,
  createRefusalHeaders,
  createUnknownOutcomeRefusal,
  formatRefusalBody,
  readRefusalStatus,
} from "./refusals.ts";
