/** Holds tokens for a request before it is dispatched. */
import { type Either, Left, Right } from "purify-ts";
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { computeGrantRoom } from "../account.ts";
import type { EventAccount, Reservation } from "../account.ts";

/** Says how many tokens the account lacks. */
export interface Shortfall {
  readonly missing: Tokens;
}

/** The account after a reservation, and the reservation. */
export interface ReserveResult {
  readonly account: EventAccount;
  readonly reservation: Reservation;
}

/** Reserves tokens from one grant that is open and has room for all of them. */
export function reserveTokens(
  account: EventAccount,
  input: { readonly tokens: Tokens; readonly now: MonotonicTime },
): Either<Shortfall, ReserveResult> {
  const open = account.grants.filter((grant) => input.now < grant.deadline);
  const grant = open.find((each) => computeGrantRoom(each) >= input.tokens);
  if (grant === undefined) {
    const room = Math.max(0, ...open.map(computeGrantRoom));
    return Left({ missing: input.tokens - room });
  }
  const changed = { ...grant, reserved: grant.reserved + input.tokens };
  return Right({
    account: {
      ...account,
      grants: account.grants.map((each) => each === grant ? changed : each),
    },
    reservation: {
      eventId: account.eventId,
      grantId: grant.id,
      tokens: input.tokens,
    },
  });
}
