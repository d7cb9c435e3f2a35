/**
 * Lends tokens to another VM. The loan is debited from one of the lender's own
 * grants before the answer is sent, and stays debited: a lost answer strands
 * the tokens and never makes any.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import {
  changeGrant,
  computeAccountRoom,
  computeGrantRoom,
  isGrantOpen,
} from "../account.ts";
import type { EventAccount, Grant, LoanAnswer, VmLife } from "../account.ts";

/** Most loans that are made from one grant. */
export const MAX_LOANS_PER_GRANT = 16;

/** Most answers that are remembered for repeated requests. */
export const MAX_LOAN_ANSWERS = 64;

/** One VM's request for a loan. */
export interface LoanRequest {
  readonly transferId: string;
  readonly wanted: Tokens;
  /** What a waiting request lacks; lent beyond half of the room if need be. */
  readonly least: Tokens;
  readonly borrower: VmLife;
}

/** The lender's account after the debit, and the answer to send. */
export interface LendResult {
  readonly account: EventAccount;
  readonly answer: LoanAnswer;
}

/**
 * Debits a loan. A transfer id that was answered before gets the same answer.
 * `keep` is what the lender needs for its own waiting requests.
 */
export function lendTokens(
  account: EventAccount,
  input: {
    readonly request: LoanRequest;
    readonly now: MonotonicTime;
    readonly keep: Tokens;
  },
): LendResult {
  const { request, now, keep } = input;
  const given = account.loanAnswers
    .find((each) => each.transferId === request.transferId);
  if (given !== undefined) return { account, answer: given };
  const lender = chooseLenderGrant(account, now);
  const spare = computeAccountRoom(account, now) - keep;
  const tokens = computeLoan(request, {
    spare,
    room: lender === undefined ? 0 : computeGrantRoom(lender),
  });
  const answer = {
    transferId: request.transferId,
    tokens,
    lenderGrantId: tokens === 0 ? "" : lender?.id ?? "",
  };
  const loan = {
    transferId: request.transferId,
    tokens,
    borrower: request.borrower,
  };
  const debited = tokens === 0
    ? account
    : changeGrant(account, answer.lenderGrantId, (grant) => ({
      ...grant,
      loans: [...grant.loans, loan],
    }));
  const loanAnswers = [...account.loanAnswers, answer].slice(-MAX_LOAN_ANSWERS);
  return { account: { ...debited, loanAnswers }, answer };
}

/** The own grant with the most room; borrowed tokens are not lent on. */
function chooseLenderGrant(
  account: EventAccount,
  now: MonotonicTime,
): Grant | undefined {
  return account.grants
    .filter((grant) => grant.lenderGrantId === undefined)
    .filter((grant) => isGrantOpen(grant, now))
    .filter((grant) => grant.loans.length < MAX_LOANS_PER_GRANT)
    .sort((left, right) => computeGrantRoom(right) - computeGrantRoom(left))[0];
}

function computeLoan(
  request: LoanRequest,
  lender: { readonly spare: Tokens; readonly room: Tokens },
): Tokens {
  const most = Math.max(0, Math.min(lender.spare, lender.room));
  const fair = Math.max(request.least, Math.floor(lender.spare / 2));
  return Math.min(request.wanted, fair, most);
}
