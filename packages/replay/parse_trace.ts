/**
 * Parses the text of a trace and checks it completely before it is replayed.
 */
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { z } from "zod";
import type { ReplayError } from "./replay_error.ts";
import { ReplayErrorKind } from "./replay_error.ts";
import type { InputTable } from "./replay_input.ts";
import type { Trace, TraceHeader, TraceStep } from "./trace_format.ts";
import {
  END_SCHEMA,
  HEADER_SCHEMA,
  STEP_SCHEMA,
  TRACE_VERSION,
} from "./trace_format.ts";

/** A line that is not blank, with its number from 1. */
interface NumberedLine {
  readonly line: number;
  readonly text: string;
}

type ParseResult<Value> = Either<ReplayError, Value>;

/** Parses a trace; its inputs must be in the table. */
export function parseTrace(
  text: string,
  inputs: InputTable,
): ParseResult<Trace> {
  const lines = text.split("\n")
    .map((each, index) => ({ line: index + 1, text: each.trim() }))
    .filter((each) => each.text !== "");
  const [first, ...rest] = lines;
  if (first === undefined) return Left(createTruncatedError(1));
  return parseHeader(first).chain((header) =>
    parseSteps(rest, inputs).map((steps) => ({ header, steps }))
  );
}

function parseHeader(first: NumberedLine): ParseResult<TraceHeader> {
  return parseJson(first).chain((value) => {
    const version = z.looseObject({ version: z.number() }).safeParse(value);
    if (version.success && version.data.version !== TRACE_VERSION) {
      return Left({
        kind: ReplayErrorKind.UnknownVersion,
        line: first.line,
        message:
          `the trace has version ${version.data.version} and this program reads version ${TRACE_VERSION}`,
        remedy: "Record it again, or use the program that wrote it.",
      });
    }
    return checkSchema(HEADER_SCHEMA, value, {
      kind: ReplayErrorKind.BadHeader,
      line: first.line,
      remedy: "Begin with the header that docs/REPLAY.md describes.",
    });
  });
}

function parseSteps(
  lines: readonly NumberedLine[],
  inputs: InputTable,
): ParseResult<TraceStep[]> {
  const steps: TraceStep[] = [];
  for (const [index, line] of lines.entries()) {
    const value = parseJson(line);
    if (value.isLeft()) return value as unknown as ParseResult<never>;
    const found = value.unsafeCoerce();
    if (isEnd(found)) return parseEnd(found, { steps, line, lines, index });
    const step = parseStep(found, line.line, inputs)
      .chain((each) => checkTime(each, steps.at(-1)));
    if (step.isLeft()) return step as unknown as ParseResult<never>;
    steps.push(step.unsafeCoerce());
  }
  return Left(createTruncatedError((lines.at(-1)?.line ?? 1) + 1));
}

function isEnd(value: unknown): boolean {
  return typeof value === "object" && value !== null && "end" in value &&
    !("input" in value);
}

function parseEnd(
  value: unknown,
  found: {
    readonly steps: TraceStep[];
    readonly line: NumberedLine;
    readonly lines: readonly NumberedLine[];
    readonly index: number;
  },
): ParseResult<TraceStep[]> {
  const { steps, line, lines, index } = found;
  const after = lines[index + 1];
  if (after !== undefined) {
    return Left({
      kind: ReplayErrorKind.AfterEnd,
      line: after.line,
      message: "a line follows the end of the trace",
      remedy: "Move the end to the last line, or put one trace in a file.",
    });
  }
  return checkSchema(END_SCHEMA, value, {
    kind: ReplayErrorKind.BadField,
    line: line.line,
    remedy: "End with the line that docs/REPLAY.md describes.",
  }).chain((end) =>
    end.steps === steps.length ? Right(steps) : Left({
      kind: ReplayErrorKind.Truncated,
      line: line.line,
      message:
        `the trace has ${steps.length} steps but its last line states ${end.steps}`,
      remedy: "Restore the missing steps, or state the right number.",
    })
  );
}

function parseStep(
  value: unknown,
  line: number,
  inputs: InputTable,
): ParseResult<TraceStep> {
  return checkSchema(STEP_SCHEMA, value, {
    kind: ReplayErrorKind.BadField,
    line,
    remedy: "Give each step the fields at, input and expect.",
  }).chain(({ at, input, expect, ...fields }) => {
    const known = Object.hasOwn(inputs, input) ? inputs[input] : undefined;
    if (known === undefined) {
      return Left({
        kind: ReplayErrorKind.UnknownInput,
        line,
        message: `no input is named ${input}`,
        remedy: `Use one of ${Object.keys(inputs).join(", ")}.`,
      });
    }
    return checkSchema(known.schema, fields, {
      kind: ReplayErrorKind.BadField,
      line,
      remedy: `Give ${input} the fields that docs/REPLAY.md lists.`,
    }).map((checked) => ({
      line,
      at,
      input,
      expect,
      fields: checked as TraceStep["fields"],
    }));
  });
}

function checkTime(
  step: TraceStep,
  before: TraceStep | undefined,
): ParseResult<TraceStep> {
  if (before === undefined || before.at <= step.at) return Right(step);
  return Left({
    kind: ReplayErrorKind.TimeBack,
    line: step.line,
    message: `the time goes back from ${before.at} to ${step.at}`,
    remedy: "Sort the steps by time, or correct the time.",
  });
}

function parseJson({ line, text }: NumberedLine): ParseResult<unknown> {
  try {
    return Right(JSON.parse(text));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left({
      kind: ReplayErrorKind.Syntax,
      line,
      message: `the line is not one complete JSON value: ${reason}`,
      remedy:
        "Put one JSON object on each line; the file may be truncated here.",
    });
  }
}

function checkSchema<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
  error: Omit<ReplayError, "message">,
): ParseResult<Value> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  const message = parsed.error.issues
    .map((issue) => [issue.path.join("."), issue.message].join(" ").trim())
    .join("; ");
  return Left({ ...error, message });
}

function createTruncatedError(line: number): ReplayError {
  return {
    kind: ReplayErrorKind.Truncated,
    line,
    message: "the trace ends without its last line",
    remedy: "The file is truncated: copy or record it again.",
  };
}
