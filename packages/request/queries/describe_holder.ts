/** Says what a claim that another attempt holds means for whoever asks. */
import type { Incarnation, VmId } from "../../core/mod.ts";
import type { ClaimHolder } from "../rows/claim_row.ts";

/** What is believed of the attempt that holds a claim. */
export enum HolderState {
  /** It may still finish: wait for it or ask its VM. */
  Running = "running",
  /** It cannot finish any more: the outcome is unknown for good. */
  Lost = "lost",
}

/**
 * Returns what is believed of a claim's holder. Believing a slow holder lost
 * is safe: the caller is told `unknown`, and nothing is run.
 */
export function describeHolder(
  holder: ClaimHolder,
  input: {
    readonly self: { readonly vm: VmId; readonly incarnation: Incarnation };
    /** Whether this VM has that attempt in progress. */
    readonly isInProgress: (attempt: number) => boolean;
    /** Whether the life of another VM is known to be over. */
    readonly isLifeOver: (vm: VmId, incarnation: Incarnation) => boolean;
  },
): HolderState {
  const { self } = input;
  if (holder.vm !== self.vm) {
    const over = input.isLifeOver(holder.vm, holder.incarnation);
    return over ? HolderState.Lost : HolderState.Running;
  }
  const running = holder.incarnation === self.incarnation &&
    input.isInProgress(holder.attempt ?? 0);
  return running ? HolderState.Running : HolderState.Lost;
}
