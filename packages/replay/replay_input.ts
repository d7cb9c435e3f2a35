/** An input of a trace: its fields and the decision that it is given to. */
import { z } from "zod";
import type { MonotonicTime } from "../core/mod.ts";
import type { ReplayFleet } from "./replay_fleet.ts";

/** What a decision is given besides its fields. */
export interface InputContext {
  readonly fleet: ReplayFleet;
  readonly now: MonotonicTime;
}

/** One kind of input. */
export interface ReplayInput {
  readonly schema: z.ZodType;
  /** Runs the decision; returns the outcome as plain data. */
  run(fields: unknown, context: InputContext): unknown;
}

/** Inputs by name. */
export type InputTable = Readonly<Record<string, ReplayInput>>;

/** Returns an input whose fields are checked and typed by a strict schema. */
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

/** A whole number of tokens, milliseconds or the like. */
export const COUNT = z.number().int().nonnegative();

/** A name of a VM, an event, a key and so on. */
export const NAME = z.string().min(1);
