/**
 * Prepares grants for giving tokens back. Both commands change the account
 * before anything is sent to the table, so that no request can reserve a token
 * that is on its way back.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, computeGrantRoom } from "../account.ts";
import type { EventAccount } from "../account.ts";

/** Marks grants as closing; they take no new reservation and lend nothing. */
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
 * Lowers a grant's size by unreserved tokens that are to be given back with
 * `createGrantExchange`. Lowering by more than the room is a broken invariant.
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
        `Returning ${input.returned} tokens of grant ${grant.id} with room for ${room}. Return at most its room.`,
      );
    }
    return { ...grant, size: grant.size - input.returned };
  });
  return { ...changed, lastReturn: input.now };
}
