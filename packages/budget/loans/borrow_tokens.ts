/**
 * Borrows tokens from other VMs. A loan is credited once for its transfer id,
 * and only while the id is pending, so doubled and late answers are harmless.
 * A request without an answer is sent again under the same id.
 */
import type { Millis, MonotonicTime, Tokens, VmId } from "../../core/mod.ts";
import type { EventAccount, LoanAnswer, PendingLoan } from "../account.ts";
import { receiveGrant } from "../commands/receive_grant.ts";

/** Most loans that are asked for at a time; the oldest is given up first. */
export const MAX_PENDING_LOANS = 16;

/** Time without an answer after which a request is sent again. */
export const LOAN_RETRY_TIME: Millis = 500;

/** Peers asked at a time for one shortage. */
const LOAN_FANOUT = 2;

/** Records that a loan is asked for, before its request is sent. */
export function recordLoanRequest(
  account: EventAccount,
  loan: PendingLoan,
): EventAccount {
  const others = account.pendingLoans
    .filter((each) => each.transferId !== loan.transferId);
  const pendingLoans = [...others, loan].slice(-MAX_PENDING_LOANS);
  return { ...account, pendingLoans };
}

/** Returns the transfer ids of loans of one VM that were spent whole. */
export function listSpentLoans(account: EventAccount, lender: VmId): string[] {
  return account.spentLoans
    .filter((loan) => loan.lenderGrantId.startsWith(`${lender}/`))
    .map((loan) => loan.transferId);
}

/** Forgets spent loans of which their lender was told. */
export function removeReportedLoans(
  account: EventAccount,
  transferIds: readonly string[],
): EventAccount {
  if (transferIds.length === 0) return account;
  const spentLoans = account.spentLoans
    .filter((loan) => !transferIds.includes(loan.transferId));
  return { ...account, spentLoans };
}

/** Credits a lender's answer if its transfer id is pending; else does nothing. */
export function receiveLoan(
  account: EventAccount,
  input: {
    readonly answer: LoanAnswer;
    /** When the loan takes no new reservation any more. */
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

/** What to send for loans now. */
export interface LoanPlan {
  /** Requests to send again under their ids. */
  readonly resend: readonly PendingLoan[];
  /** Peers to ask, each under a new transfer id. */
  readonly ask: readonly { readonly lender: VmId; readonly wanted: Tokens }[];
}

/**
 * Plans loans for an account that lacks tokens which the table does not give.
 * `peers` are the reachable VMs, likeliest lender first, without those that
 * refused already; an empty plan means that there is nobody left to ask.
 */
export function planLoans(
  account: EventAccount,
  input: {
    readonly missing: Tokens;
    /** Tokens that the account would like to hold. */
    readonly target: Tokens;
    readonly peers: readonly VmId[];
    readonly now: MonotonicTime;
    /** Peers asked at a time; {@link LOAN_FANOUT} if absent. */
    readonly fanout?: number;
  },
): LoanPlan {
  const { missing, target, peers, now, fanout = LOAN_FANOUT } = input;
  if (missing <= 0) return { resend: [], ask: [] };
  const asked = account.pendingLoans.map((loan) => loan.lender);
  const resend = account.pendingLoans
    .filter((loan) => peers.includes(loan.lender))
    .filter((loan) => now - loan.askedAt >= LOAN_RETRY_TIME);
  const open = account.pendingLoans
    .filter((loan) => now - loan.askedAt < LOAN_RETRY_TIME);
  const wanted = Math.ceil(Math.max(missing, target));
  const ask = peers
    .filter((peer) => !asked.includes(peer))
    .slice(0, Math.max(0, fanout - open.length))
    .map((lender) => ({ lender, wanted }));
  return { resend, ask };
}
