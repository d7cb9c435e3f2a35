/** Takes more of a grant that the table has confirmed whole into use. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, type EventAccount } from "../account.ts";
import { receiveGrant } from "./receive_grant.ts";

/** Raises a grant's size, or adds the grant; a smaller size changes nothing. */
export function addUnlockedTokens(
  account: EventAccount,
  input: {
    readonly grantId: string;
    readonly size: Tokens;
    /** After this reading a grant that is added takes no new reservation. */
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
