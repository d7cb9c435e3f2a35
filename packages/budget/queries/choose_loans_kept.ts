/** Decides when and how far a VM gives the loans of an account back to their lenders. */
import type { Millis, MonotonicTime, Tokens } from "../../core/mod.ts";
import { computeAccountRoom, type EventAccount } from "../account.ts";

/** Time without a reservation after which loans go back. */
export const LOAN_IDLE_TIME: Millis = 1_000;

/** Multiple of the usual reservation above which loans go back at once. */
const MAX_REQUESTS_HELD = 1.3;

/**
 * Returns how many tokens of loans an account should keep while the others go
 * back, settled ones are reported and unanswered requests are sent again: none
 * once they have been idle for {@link LOAN_IDLE_TIME}, or one usual request if
 * it has more available. Returns undefined if nothing should go back now.
 */
export function chooseLoansKept(
  account: EventAccount,
  now: MonotonicTime,
): Tokens | undefined {
  const hasLoans = account.grants.some((grant) =>
    grant.lenderGrantId !== undefined && grant.reserved === 0
  );
  const others = account.settledLoans.length + account.pendingLoans.length;
  if (!hasLoans && others === 0) return undefined;
  if (now - account.lastDraw > LOAN_IDLE_TIME) return 0;
  const room = computeAccountRoom(account, now);
  const isExcessive = room > MAX_REQUESTS_HELD * account.usualHold;
  return hasLoans && isExcessive ? account.usualHold : undefined;
}
