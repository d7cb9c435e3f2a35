/**
 * Inputs of traces: the fields of each kind and the decision code that it
 * calls.
 */
import { z } from "zod";
import type { MonotonicTime } from "../core/mod.ts";
import type { ReplayFleet } from "./replay_fleet.ts";

/** Context of a step besides the input's fields. */
export interface InputContext {
  readonly fleet: ReplayFleet;
  /** Time of the step on the trace's clock. */
  readonly now: MonotonicTime;
}

/** A kind of input. */
export interface ReplayInput {
  /** Schema of the input's own fields. */
  readonly schema: z.ZodType;
  /** Calls the decision code and returns the outcome as plain data. */
  run(fields: unknown, context: InputContext): unknown;
}

/** Inputs by name. */
export type InputTable = Readonly<Record<string, ReplayInput>>;

/** Creates an input whose fields are checked and typed by a strict schema. */
export function createInput<Shape extends z.ZodRawShape>(
  shape: Shape,
  run: (
    fields: z.infer<z.ZodObject<Shape>>,
    context: InputContext,
  ) => unknown,
): ReplayInput {
  const schema = z.strictObject(shape);
  return {
    schema,
    run: (fields, context) =>
      run(fields as z.infer<z.ZodObject<Shape>>, context),
  };
}

/** Schema of a whole number, for example of tokens or milliseconds. */
export const COUNT_SCHEMA = z.number().int().nonnegative();

/** Schema of a name, for example of a VM, an event or a key. */
export const NAME_SCHEMA = z.string().min(1);
