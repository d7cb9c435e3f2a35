/** Replay inputs for late writes and VM restarts, and outcomes of the store. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../../core/mod.ts";
import type { InputTable } from "../replay_input.ts";
import { createInput, NAME_SCHEMA } from "../replay_input.ts";

/** Returns the outcome of an operation: its result or the kind of failure. */
export function describeStoreAnswer<Result>(
  answer: Either<PlatformError, Result>,
  describe: (result: Result) => unknown,
): unknown {
  return answer.caseOf({
    Left: (error) => ({ store: error.kind }),
    Right: describe,
  });
}

/**
 * Applies a late write, if its rows still have the versions it was decided
 * from.
 */
const land = createInput(
  { write: NAME_SCHEMA },
  ({ write }, { fleet }) => ({ landed: fleet.store.applyLateWrite(write) }),
);

/** Restarts a VM: it loses its memory and starts a new incarnation. */
const restart = createInput(
  { vm: NAME_SCHEMA },
  ({ vm }, { fleet }) => ({ incarnation: fleet.startNextIncarnation(vm) }),
);

/** Inputs for late writes and restarts. */
export const STORE_INPUTS: InputTable = {
  "store/land": land,
  "vm/restart": restart,
};
