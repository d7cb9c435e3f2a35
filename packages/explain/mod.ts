/** Reconstructs the timeline of a request from log lines. */
export type { RequestTimeline, TimelineEntry } from "./request_timeline.ts";
export { findRequestTimeline, formatTimeline } from "./request_timeline.ts";
export type { LogLine } from "./parse_line.ts";
export { parseLogLine } from "./parse_line.ts";
