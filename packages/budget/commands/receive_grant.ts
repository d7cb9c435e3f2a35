/** Adds a grant that the table has confirmed to the account. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import type { EventAccount } from "../account.ts";

/** Adds a confirmed grant; a grant the account has already is left alone. */
export function receiveGrant(
  account: EventAccount,
  input: {
    readonly grantId: string;
    readonly size: Tokens;
    readonly deadline: MonotonicTime;
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
  };
  return { ...account, grants: [...account.grants, grant] };
}
