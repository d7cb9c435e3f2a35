/** Says which grants a VM should ask for and which it should give back. */
import type { BudgetLean, MonotonicTime, Tokens } from "../../core/mod.ts";
import { computeGrantRoom } from "../account.ts";
import type { EventAccount, Grant } from "../account.ts";

/** What the account should do with the table now. */
export interface GrantPlan {
  /** Tokens to ask for, and the least that is of use; absent when none. */
  readonly take?: { readonly wanted: Tokens; readonly least: Tokens };
  /** Grants that nothing is reserved from and that should be closed. */
  readonly close: readonly Grant[];
}

/** Plans for an account; `need` is the upper bound of a request that waits. */
export function planGrants(
  account: EventAccount,
  input: {
    readonly now: MonotonicTime;
    readonly lean: BudgetLean;
    readonly need: Tokens;
    /** Tokens left in the budget row when it was last read, if known. */
    readonly budgetLeft?: Tokens;
  },
): GrantPlan {
  const { now, need } = input;
  const idle = (grant: Grant) => grant.reserved === 0;
  const close = account.grants.filter((grant) =>
    idle(grant) && (now >= grant.deadline || computeGrantRoom(grant) === 0)
  );
  if (need === 0) return { close };
  return { close, take: { wanted: need * 4, least: need } };
}
