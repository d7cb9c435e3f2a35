/** Replays recorded traces and compares the outcomes with those they state. */
export { getTraceDirectory, listTraces } from "./list_traces.ts";
export { parseTrace } from "./parse_trace.ts";
export type { ReplayError } from "./replay_error.ts";
export { formatReplayError, ReplayErrorKind } from "./replay_error.ts";
export type { OutcomeDifference, ReplayReport } from "./replay_trace.ts";
export {
  formatReplayReport,
  REPLAY_INPUTS,
  replayTrace,
} from "./replay_trace.ts";
export type { Trace, TraceHeader, TraceStep } from "./trace_format.ts";
export { Failure, TRACE_FORMAT, TRACE_VERSION } from "./trace_format.ts";
