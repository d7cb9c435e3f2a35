/**
 * The lines of a trace: a header, steps, and an end that shows that the file is
 * whole. docs/REPLAY.md describes them for people.
 */
import { z } from "zod";
import type { JsonValue, MonotonicTime } from "../core/mod.ts";

/** Name of the format, as the header states it. */
export const TRACE_FORMAT = "anvilrail-trace";

/** Version of the format that this code reads. */
export const TRACE_VERSION = 1;

/** Failures that a trace can show. */
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

/** First line of a trace. */
export const HEADER_SCHEMA = z.strictObject({
  format: z.literal(TRACE_FORMAT),
  version: z.number().int(),
  name: z.string().min(1),
  /** What happens in it, in a sentence. */
  about: z.string().min(1),
  failures: z.array(z.enum(Failure)).min(1),
});

/** Last line of a trace. */
export const END_SCHEMA = z.strictObject({
  end: z.literal(TRACE_FORMAT),
  steps: z.number().int().nonnegative(),
});

/** The fields that every step has. */
export const STEP_SCHEMA = z.looseObject({
  /** Milliseconds on the trace's clock, which every VM of it reads. */
  at: z.number().nonnegative(),
  input: z.string(),
  expect: z.json(),
});

/** The header of a trace. */
export type TraceHeader = z.infer<typeof HEADER_SCHEMA>;

/** One step as parsed. */
export interface TraceStep {
  readonly line: number;
  readonly at: MonotonicTime;
  readonly input: string;
  /** The input's own fields. */
  readonly fields: Readonly<Record<string, unknown>>;
  readonly expect: JsonValue;
}

/** A whole trace. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly TraceStep[];
}
