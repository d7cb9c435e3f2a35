/**
 * Schemas of the lines of a trace: a header, steps, and an end line, which
 * shows that the file is complete. docs/REPLAY.md describes the format for
 * users.
 */
import { z } from "zod";
import type { JsonValue, MonotonicTime } from "../core/mod.ts";

/** Name of the format, as the header and the end line state it. */
export const TRACE_FORMAT = "anvilrail-trace";

/** Version of the format that this code reads. */
export const TRACE_VERSION = 1;

/** Kinds of failures that a trace demonstrates, as its header lists them. */
export enum Failure {
  LongPartition = "long-partition-during-top-up",
  RouterDies = "router-dies-with-streams-open",
  StoreDown = "store-down-or-slow",
  AnswerLost = "store-answer-lost",
  LeaseLapses = "lease-lapses-while-paused",
  OperatorsRace = "operators-race",
  CrashingRequest = "request-crashes-targets",
  SilentConnection = "silent-connection",
}

/** Schema of the first line of a trace. */
export const HEADER_SCHEMA = z.strictObject({
  format: z.literal(TRACE_FORMAT),
  version: z.number().int(),
  name: z.string().min(1),
  /** What happens in the trace, in a sentence. */
  about: z.string().min(1),
  failures: z.array(z.enum(Failure)).min(1),
});

/** Schema of the last line of a trace. */
export const END_SCHEMA = z.strictObject({
  end: z.literal(TRACE_FORMAT),
  steps: z.number().int().nonnegative(),
});

/**
 * Schema of the fields that every step has; other fields belong to its input.
 */
export const STEP_SCHEMA = z.looseObject({
  /** Time in milliseconds on the trace's clock, which all its VMs share. */
  at: z.number().nonnegative(),
  input: z.string(),
  expect: z.json(),
});

/** The header of a trace. */
export type TraceHeader = z.infer<typeof HEADER_SCHEMA>;

/** A parsed step. */
export interface TraceStep {
  readonly line: number;
  readonly at: MonotonicTime;
  readonly input: string;
  /** The input's own fields. */
  readonly fields: Readonly<Record<string, unknown>>;
  readonly expect: JsonValue;
}

/** A parsed trace. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly TraceStep[];
}
