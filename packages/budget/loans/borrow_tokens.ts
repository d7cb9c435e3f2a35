/**
 * Borrower side of token loans between VMs. An answer is credited once, and
 * only while its transfer id is pending, so duplicate and late answers have no
 * effect. A request without an answer is sent again under the same id.
 */
import type { Millis, MonotonicTime, Tokens, VmId } from "../../core/mod.ts";
import type {
  EventAccount,
  LoanAnswer,
  PendingLoan,
  SettledLoan,
} from "../account.ts";
import { receiveGrant } from "../commands/receive_grant.ts";

/** Maximum number of pending loan requests; the oldest is discarded first. */
export const MAX_PENDING_LOANS = 16;

/** Time without an answer after which a loan request is sent again. */
export const LOAN_RETRY_TIME: Millis = 500;

/** Default number of peers asked at a time for one shortfall. */
const LOAN_FANOUT = 2;

/** Records a loan request as pending; to be called before it is sent. */
export function recordLoanRequest(
  account: EventAccount,
  loan: PendingLoan,
): EventAccount {
  const others = account.pendingLoans
    .filter((each) => each.transferId !== loan.transferId);
  const pendingLoans = [...others, loan].slice(-MAX_PENDING_LOANS);
  return { ...account, pendingLoans };
}

/** Returns the settled loans from one lender's grants. */
export function listSettledLoans(
  account: EventAccount,
  lender: VmId,
): SettledLoan[] {
  return account.settledLoans
    .filter((loan) => loan.lenderGrantId.startsWith(`${lender}/`));
}

/** Removes settled loans that have been reported to their lender. */
export function removeReportedLoans(
  account: EventAccount,
  transferIds: readonly string[],
): EventAccount {
  if (transferIds.length === 0) return account;
  const settledLoans = account.settledLoans
    .filter((loan) => !transferIds.includes(loan.transferId));
  return { ...account, settledLoans };
}

/**
 * Credits a lender's answer if its transfer id is pending; otherwise returns
 * the account unchanged.
 */
export function receiveLoan(
  account: EventAccount,
  input: {
    readonly answer: LoanAnswer;
    /** Time from which the loan takes no new reservations. */
    readonly deadline: MonotonicTime;
  },
): EventAccount {
  const { answer, deadline } = input;
  const pendingLoans = account.pendingLoans
    .filter((each) => each.transferId !== answer.transferId);
  if (pendingLoans.length === account.pendingLoans.length) return account;
  return answer.parts.reduce<EventAccount>(
    (credited, { transferId, lenderGrantId, tokens }) =>
      receiveGrant(credited, {
        grantId: transferId,
        size: tokens,
        deadline,
        lenderGrantId,
      }),
    { ...account, pendingLoans },
  );
}

/** Returns the pending loan requests that are due to be sent again. */
export function listUnansweredLoans(
  account: EventAccount,
  now: MonotonicTime,
): PendingLoan[] {
  return account.pendingLoans
    .filter((loan) => now - loan.askedAt >= LOAN_RETRY_TIME);
}

/** Loan requests to send now. */
export interface LoanPlan {
  /** Pending requests to send again under their transfer ids. */
  readonly resend: readonly PendingLoan[];
  /** Peers to ask, each under a new transfer id. */
  readonly ask: readonly { readonly lender: VmId; readonly wanted: Tokens }[];
}

/**
 * Plans loan requests for a shortfall that the store does not cover with a
 * grant. `peers` lists the reachable VMs, most likely lender first, without
 * those that have refused. The plan is empty if nothing is missing, or if no
 * request is due again and no peer may be asked: because none is left, or
 * because unanswered requests take up the fanout.
 */
export function planLoans(
  account: EventAccount,
  input: {
    readonly missing: Tokens;
    /** Tokens to ask for if that is more than `missing`. */
    readonly target: Tokens;
    readonly peers: readonly VmId[];
    readonly now: MonotonicTime;
    /** Number of peers asked at a time; {@link LOAN_FANOUT} if absent. */
    readonly fanout?: number;
  },
): LoanPlan {
  const { missing, target, peers, now, fanout = LOAN_FANOUT } = input;
  if (missing <= 0) return { resend: [], ask: [] };
  const pendingLenders = account.pendingLoans.map((loan) => loan.lender);
  const resend = listUnansweredLoans(account, now)
    .filter((loan) => peers.includes(loan.lender));
  const unanswered = account.pendingLoans
    .filter((loan) => now - loan.askedAt < LOAN_RETRY_TIME);
  const wanted = Math.ceil(Math.max(missing, target));
  const ask = peers
    .filter((peer) => !pendingLenders.includes(peer))
    .slice(0, Math.max(0, fanout - unanswered.length))
    .map((lender) => ({ lender, wanted }));
  return { resend, ask };
}
