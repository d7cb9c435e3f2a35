/** Removes a grant whose closing the table has confirmed. */
import type { EventAccount } from "../account.ts";

/** Removes a closed grant from the account. */
export function dropGrant(
  account: EventAccount,
  grantId: string,
): EventAccount {
  return {
    ...account,
    grants: account.grants.filter((grant) => grant.id !== grantId),
  };
}
