/** Adds a grant that the table has confirmed to the account. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import type { EventAccount } from "../account.ts";

/**
 * Adds a confirmed grant; a grant the account has already is left alone. The
 * deadline counts from when the grant was asked for, not from the answer.
 */
export function receiveGrant(
  account: EventAccount,
  input: {
    readonly grantId: string;
    readonly size: Tokens;
    readonly deadline: MonotonicTime;
    /** The lender's grant, when another VM lent these tokens. */
    readonly lenderGrantId?: string;
  },
): EventAccount {
  if (account.grants.some((grant) => grant.id === input.grantId)) {
    return account;
  }
  const grant = {
    id: input.grantId,
    size: input.size,
    spent: 0,
    reserved: 0,
    deadline: input.deadline,
    closing: false,
    loans: [],
    parts: 0,
    ...(input.lenderGrantId === undefined
      ? {}
      : { lenderGrantId: input.lenderGrantId }),
  };
  return { ...account, grants: [...account.grants, grant] };
}
