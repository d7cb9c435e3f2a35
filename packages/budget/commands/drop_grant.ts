/** Removes a grant after the store has confirmed that it is closed. */
import type { EventAccount } from "../account.ts";

/** Returns the account without a closed grant. */
export function dropGrant(
  account: EventAccount,
  grantId: string,
): EventAccount {
  return {
    ...account,
    grants: account.grants.filter((grant) => grant.id !== grantId),
  };
}
