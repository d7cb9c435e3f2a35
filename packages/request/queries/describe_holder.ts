/** Decides whether the attempt that holds a claim may still finish it. */
import type { Incarnation, VmId } from "../../core/mod.ts";
import type { ClaimHolder } from "../rows/claim_row.ts";

/** Assumed state of the attempt that holds a claim. */
export enum HolderState {
  /** The attempt may still finish: wait for it or ask its VM. */
  Running = "running",
  /** The attempt cannot finish: the outcome stays unknown. */
  Lost = "lost",
}

/**
 * Returns the assumed state of a claim's holder. Taking a slow holder for lost
 * is safe: the caller gets the outcome `unknown`, and the call is not run again.
 */
export function describeHolder(
  holder: ClaimHolder,
  input: {
    readonly self: { readonly vm: VmId; readonly incarnation: Incarnation };
    /** Returns whether an attempt of this VM is in progress. */
    readonly isInProgress: (attempt: number) => boolean;
    /** Returns whether an incarnation of another VM is known to have ended. */
    readonly isLifeOver: (vm: VmId, incarnation: Incarnation) => boolean;
  },
): HolderState {
  const { self } = input;
  if (holder.vm !== self.vm) {
    const hasEnded = input.isLifeOver(holder.vm, holder.incarnation);
    return hasEnded ? HolderState.Lost : HolderState.Running;
  }
  const isRunning = holder.incarnation === self.incarnation &&
    input.isInProgress(holder.attempt ?? 0);
  return isRunning ? HolderState.Running : HolderState.Lost;
}
