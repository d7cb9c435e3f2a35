/**
 * Adds a grant that the store has confirmed, or a loan that a peer has made.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import type { EventAccount } from "../account.ts";

/**
 * Adds a confirmed grant. A grant that the account already has stays as it is,
 * so a duplicate answer changes nothing. The deadline counts from the time of
 * the request for the grant, not from that of the answer.
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
