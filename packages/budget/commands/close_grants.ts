/**
 * Prepares grants for returning tokens to the budget. Both commands change the
 * account before anything is sent to the store, so that no request can reserve
 * a token that is being returned.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, computeGrantRoom } from "../account.ts";
import type { EventAccount } from "../account.ts";

/**
 * Marks grants as closing: they take no new reservation and make no new loan.
 */
export function closeGrants(
  account: EventAccount,
  grantIds: readonly string[],
): EventAccount {
  const grants = account.grants.map((grant) =>
    grantIds.includes(grant.id) ? { ...grant, closing: true } : grant
  );
  return { ...account, grants };
}

/**
 * Lowers a grant's size by available tokens, which the caller then returns to
 * the budget with `createGrantExchange`. Throws when the grant has fewer tokens
 * available, because that is a bug of the caller.
 */
export function shrinkGrant(
  account: EventAccount,
  input: {
    readonly grantId: string;
    readonly returned: Tokens;
    readonly now: MonotonicTime;
  },
): EventAccount {
  const changed = changeGrant(account, input.grantId, (grant) => {
    const room = computeGrantRoom(grant);
    if (input.returned > room) {
      throw new Error(
        `Cannot return ${input.returned} tokens of grant ${grant.id}, which has room for ${room}. Return at most its room.`,
      );
    }
    return { ...grant, size: grant.size - input.returned };
  });
  return { ...changed, lastReturn: input.now };
}
