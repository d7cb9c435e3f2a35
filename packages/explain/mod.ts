/** Reconstructs the timeline of a request from log lines. */
export type { RequestStory, StoryStep } from "./explain_request.ts";
export { findRequestStory, formatStory } from "./explain_request.ts";
export type { LogLine } from "./parse_line.ts";
export { parseLogLine } from "./parse_line.ts";
