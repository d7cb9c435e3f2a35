/** Background processes, structured logs, and refusals as HTTP answers. */
export type { EventLog, EventLogOptions, LogFields } from "./event_log.ts";
export {
  createErrorReporter,
  createEventLog,
  createSilentLog,
  formatLine,
  LogEvent,
} from "./event_log.ts";
export type { DroppedLines, LineRateLimits } from "./line_rate_limiter.ts";
export { LineCategory, LineRateLimiter } from "./line_rate_limiter.ts";
export type { WriteBytes } from "./line_sink.ts";
export { createDescriptorSink, LineSink } from "./line_sink.ts";
export { registerIdleClose, waitForPendingReads } from "./pending_reads.ts";
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
export { SignalWatch } from "./signal_watch.ts";
export { UnsentAnswers } from "./unsent_answers.ts";
