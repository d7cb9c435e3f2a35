/** Decides when a VM gives the loans of an account back to their lenders. */
import type { Millis, MonotonicTime } from "../../core/mod.ts";
import { computeAccountRoom, type EventAccount } from "../account.ts";

/** Time without a reservation after which loans go back. */
export const LOAN_IDLE_TIME: Millis = 1_000;

/** Multiple of the usual reservation above which loans go back at once. */
const MAX_REQUESTS_HELD = 1.3;

/**
 * Returns whether loans of the account should go back, or settled ones be
 * reported: they have been idle for {@link LOAN_IDLE_TIME}, or the account has
 * more available than one usual request needs.
 */
export function isLoanReturnDue(
  account: EventAccount,
  now: MonotonicTime,
): boolean {
  const isIdle = now - account.lastDraw > LOAN_IDLE_TIME;
  const hasLoans = account.grants.some((grant) =>
    grant.lenderGrantId !== undefined && grant.reserved === 0
  );
  if (!hasLoans) return isIdle && account.settledLoans.length > 0;
  const room = computeAccountRoom(account, now);
  return isIdle || room > MAX_REQUESTS_HELD * account.usualHold;
}
