/** Converts a reservation into spent tokens when its request ends. */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { changeGrant, removeSpentLoans } from "../account.ts";
import type { EventAccount, Reservation } from "../account.ts";
import { recordUsage } from "../account_rates.ts";

/**
 * Counts the tokens that a request spent of its reservation as spent, and makes
 * the rest available again. An absent `spent` means that the figure is unknown;
 * then the whole reservation counts as spent. Throws when `spent` exceeds the
 * reservation or when a second settlement finds too few reserved tokens: both
 * are bugs of the caller.
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
      `Cannot settle ${spent} tokens of a reservation of ${reservation.tokens}. Cancel the stream at its upper bound before settling.`,
    );
  }
  let settled = recordUsage(account, { spent, now });
  let remaining = spent;
  for (const part of reservation.parts) {
    const charged = Math.min(remaining, part.tokens);
    remaining -= charged;
    settled = changeGrant(settled, part.grantId, (grant) => {
      if (grant.reserved < part.tokens) {
        throw new Error(
          `Grant ${grant.id} has ${grant.reserved} reserved tokens, fewer than the ${part.tokens} to settle. Settle each reservation once.`,
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
