/** Long-lived processes on js-csp, and structured logs. */
export type { EventLog, LogFields } from "./event_log.ts";
export {
  createEventLog,
  createFailureReport,
  createSilentLog,
  formatLine,
  LogEvent,
} from "./event_log.ts";
export type {
  OnDemandOptions,
  PeriodicOptions,
  PeriodicProcess,
} from "./processes.ts";
export { awaitPromise, startOnDemand, startPeriodic } from "./processes.ts";
export {
  createBadRequest,
  createRefusal,
  createRefusalHeaders,
  createUnknown,
  formatRefusalBody,
  readRefusalStatus,
} from "./refusals.ts";
