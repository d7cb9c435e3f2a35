/**
 * Replays a trace: passes each input to the decision code of the daemon and
 * compares the outcome with the one that the trace states.
 */
import { isDeepStrictEqual } from "node:util";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import type { JsonValue } from "../core/mod.ts";
import { BUDGET_INPUTS } from "./inputs/budget_inputs.ts";
import { DOCUMENT_INPUTS } from "./inputs/document_inputs.ts";
import { MEMBERSHIP_INPUTS } from "./inputs/membership_inputs.ts";
import { REQUEST_INPUTS } from "./inputs/request_inputs.ts";
import { ROUTING_INPUTS } from "./inputs/routing_inputs.ts";
import { STORE_INPUTS } from "./inputs/store_inputs.ts";
import { STREAM_INPUTS } from "./inputs/stream_inputs.ts";
import { parseTrace } from "./parse_trace.ts";
import type { ReplayError } from "./replay_error.ts";
import { ReplayFleet } from "./replay_fleet.ts";
import type { InputTable } from "./replay_input.ts";
import type { Trace, TraceHeader, TraceStep } from "./trace_format.ts";

/** All kinds of inputs that a trace may contain, by name. */
export const REPLAY_INPUTS: InputTable = {
  ...STORE_INPUTS,
  ...BUDGET_INPUTS,
  ...REQUEST_INPUTS,
  ...ROUTING_INPUTS,
  ...STREAM_INPUTS,
  ...DOCUMENT_INPUTS,
  ...MEMBERSHIP_INPUTS,
};

/** A step whose outcome differs from the stated one. */
export interface OutcomeDifference {
  readonly line: number;
  readonly input: string;
  readonly expected: JsonValue;
  readonly found: JsonValue;
}

/** Result of replaying a trace. */
export interface ReplayReport {
  readonly header: TraceHeader;
  /** Number of steps that had the stated outcome. */
  readonly steps: number;
  /** The first difference, at which the replay stopped. */
  readonly difference?: OutcomeDifference;
}

/** Parses a trace and replays it up to the first difference. */
export async function replayTrace(
  text: string,
  inputs: InputTable = REPLAY_INPUTS,
): Promise<Either<ReplayError, ReplayReport>> {
  const parsed = parseTrace(text, inputs);
  if (parsed.isLeft()) return Left(parsed.swap().unsafeCoerce());
  return Right(await replaySteps(parsed.unsafeCoerce(), inputs));
}

/** Formats a report; a difference is shown with its line and both outcomes. */
export function formatReplayReport(report: ReplayReport): string {
  const { header, steps, difference } = report;
  if (difference === undefined) {
    return `${header.name}: ${steps} steps as stated`;
  }
  const { line, input, expected, found } = difference;
  return [
    `${header.name}: line ${line}: ${input} differs after ${steps} steps as stated`,
    `  expected ${JSON.stringify(expected)}`,
    `  found    ${JSON.stringify(found)}`,
  ].join("\n");
}

async function replaySteps(
  trace: Trace,
  inputs: InputTable,
): Promise<ReplayReport> {
  const { header } = trace;
  const fleet = new ReplayFleet();
  for (const [index, step] of trace.steps.entries()) {
    const found = await runStep(step, fleet, inputs);
    if (isDeepStrictEqual(found, step.expect)) continue;
    const { line, input, expect: expected } = step;
    const difference = { line, input, expected, found };
    return { header, steps: index, difference };
  }
  return { header, steps: trace.steps.length };
}

async function runStep(
  step: TraceStep,
  fleet: ReplayFleet,
  inputs: InputTable,
): Promise<JsonValue> {
  const context = { fleet, now: step.at };
  try {
    const found = await inputs[step.input]!.run(step.fields, context);
    return JSON.parse(JSON.stringify(found));
  } catch (error) {
    // An exception of the decision code is an outcome that a trace can state.
    return { error: error instanceof Error ? error.message : String(error) };
  }
}
