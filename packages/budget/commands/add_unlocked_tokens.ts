/**
 * Makes more tokens of a standby grant available. The store has granted all of
 * its tokens to this VM; they are unlocked step by step.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, type EventAccount } from "../account.ts";
import { receiveGrant } from "./receive_grant.ts";

/**
 * Raises a grant's size to `size`, the number of tokens unlocked so far, or adds
 * the grant when the account does not have it. A size below the present one
 * changes nothing.
 */
export function addUnlockedTokens(
  account: EventAccount,
  input: {
    readonly grantId: string;
    readonly size: Tokens;
    /** From this time on, a grant that is added takes no new reservation. */
    readonly deadline: MonotonicTime;
  },
): EventAccount {
  const { grantId, size } = input;
  const received = receiveGrant(account, input);
  return changeGrant(
    received,
    grantId,
    (grant) => ({ ...grant, size: Math.max(grant.size, size) }),
  );
}
