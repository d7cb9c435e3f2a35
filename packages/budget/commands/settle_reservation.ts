/** Turns a reservation into spent tokens when its request ends. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import type { EventAccount, Reservation } from "../account.ts";

/**
 * Settles a reservation at what was really spent; the rest is free again.
 * Spending above the reservation is a broken invariant of the caller.
 */
export function settleReservation(
  account: EventAccount,
  input: {
    readonly reservation: Reservation;
    readonly spent: Tokens;
    readonly now: MonotonicTime;
  },
): EventAccount {
  const { reservation, spent } = input;
  if (spent > reservation.tokens) {
    throw new Error(
      `Settling ${spent} tokens of a reservation of ${reservation.tokens}. Cancel the stream at its bound before settling.`,
    );
  }
  return {
    ...account,
    lastDraw: input.now,
    grants: account.grants.map((grant) =>
      grant.id !== reservation.grantId ? grant : {
        ...grant,
        reserved: grant.reserved - reservation.tokens,
        spent: grant.spent + spent,
      }
    ),
  };
}
