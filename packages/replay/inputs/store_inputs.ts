/** Inputs for the store and the VMs themselves, and the store's outcomes. */
import type { Either } from "purify-ts";
import type { PlatformError } from "../../core/mod.ts";
import type { InputTable } from "../replay_input.ts";
import { createInput, NAME } from "../replay_input.ts";

/** Returns the outcome of an operation: its result, or how the store failed. */
export function describeStoreAnswer<Result>(
  answer: Either<PlatformError, Result>,
  describe: (result: Result) => unknown,
): unknown {
  return answer.caseOf({
    Left: (error) => ({ store: error.kind }),
    Right: describe,
  });
}

/** A late write lands; the versions it was decided from decide on it. */
const land = createInput(
  { write: NAME },
  ({ write }, { fleet }) => ({ landed: fleet.store.applyLate(write) }),
);

/** A VM loses its memory and begins a new life. */
const restart = createInput(
  { vm: NAME },
  ({ vm }, { fleet }) => ({ incarnation: fleet.startNextLife(vm) }),
);

/** Late writes and restarts. */
export const STORE_INPUTS: InputTable = {
  "store/land": land,
  "vm/restart": restart,
};
