/** Turns a reservation into spent tokens when its request ends. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, removeSpentLoans } from "../account.ts";
import type { EventAccount, Reservation } from "../account.ts";
import { recordDraw } from "../draw_rate.ts";

/**
 * Settles a reservation at what was really spent; the rest is free again.
 * Without `spent` the true figure cannot be known and the whole reservation
 * counts as spent. Spending above the reservation is a broken invariant of the
 * caller, as is settling a reservation twice.
 */
export function settleReservation(
  account: EventAccount,
  input: {
    readonly reservation: Reservation;
    readonly spent?: Tokens;
    readonly now: MonotonicTime;
  },
): EventAccount {
  const { reservation, now } = input;
  const spent = input.spent ?? reservation.tokens;
  if (spent > reservation.tokens) {
    throw new Error(
      `Settling ${spent} tokens of a reservation of ${reservation.tokens}. Cancel the stream at its bound before settling.`,
    );
  }
  let settled = recordDraw(account, { spent, now });
  let remaining = spent;
  for (const part of reservation.parts) {
    const charged = Math.min(remaining, part.tokens);
    remaining -= charged;
    settled = changeGrant(settled, part.grantId, (grant) => {
      if (grant.reserved < part.tokens) {
        throw new Error(
          `Grant ${grant.id} holds ${grant.reserved} reserved tokens, not ${part.tokens}. Settle each reservation once.`,
        );
      }
      return {
        ...grant,
        reserved: grant.reserved - part.tokens,
        spent: grant.spent + charged,
      };
    });
  }
  return removeSpentLoans(settled);
}
