/**
 * Lender side of token loans between VMs. A loan is debited from the lender's
 * grants before the answer is sent, and the debit is not undone: if the answer
 * is lost, the tokens remain unused, but none is ever counted twice.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import {
  changeGrant,
  computeAccountRoom,
  computeGrantRoom,
  computeReserved,
  isGrantOpen,
  PART_SEPARATOR,
  readRootLoanId,
  removeSpentLoans,
} from "../account.ts";
import type {
  EventAccount,
  Grant,
  LoanAnswer,
  LoanPart,
  SettledLoan,
  VmIncarnation,
} from "../account.ts";

/**
 * Maximum number of loans recorded on one grant; at the limit it lends none.
 */
export const MAX_LOANS_PER_GRANT = 128;

/**
 * Fraction of the borrower's shortfall below which a loan isn't worth a
 * message.
 */
const MIN_LOAN_FRACTION = 0.1;

/** Maximum number of parts of one borrowed loan that a VM re-lends. */
export const MAX_RELENT_PARTS = 32;

/**
 * Maximum number of answers kept for repeated requests; the oldest go first.
 */
export const MAX_LOAN_ANSWERS = 64;

/** A VM's request for a loan. */
export interface LoanRequest {
  readonly transferId: string;
  readonly wanted: Tokens;
  /**
   * Shortfall of a waiting request. To cover it, more than half of the lender's
   * available tokens may be lent.
   */
  readonly least: Tokens;
  /** Unreserved tokens that the borrower holds; absent if unknown. */
  readonly room?: Tokens;
  readonly borrower: VmIncarnation;
}

/** The lender's account after the debit, and the answer to send. */
export interface LendResult {
  readonly account: EventAccount;
  readonly answer: LoanAnswer;
}

/**
 * A borrower's report of a settled loan. Without a size, it has settled all that
 * is left of the loan.
 */
export type LoanReport =
  & Pick<SettledLoan, "transferId" | "unspent">
  & Partial<Pick<SettledLoan, "size">>;

/**
 * Ends loans that their borrowers have settled: what they have spent counts as
 * spent by the lender and the rest is available again, so that the budget row
 * does not have to keep the loans. Of a divided loan each part is settled by the
 * VM that has it, in any order. A report that comes again changes nothing.
 */
export function settleLoans(
  account: EventAccount,
  reports: readonly LoanReport[],
): EventAccount {
  if (reports.length === 0) return account;
  const grants = account.grants.map((grant) =>
    // The loans of a closing grant are already part of its close in the planned
    // exchange.
    grant.closing || grant.loans.length === 0
      ? grant
      : reports.reduce(settleLoan, grant)
  );
  return { ...account, grants };
}

function settleLoan(grant: Grant, report: LoanReport): Grant {
  const { transferId, unspent } = report;
  const rootId = readRootLoanId(transferId);
  const loan = grant.loans.find((each) => each.transferId === rootId);
  const settledParts = loan?.settledParts ?? [];
  if (loan === undefined || settledParts.includes(transferId)) return grant;
  const size = Math.min(loan.tokens, report.size ?? loan.tokens);
  const left = {
    ...loan,
    tokens: loan.tokens - size,
    settledParts: [...settledParts, transferId],
  };
  const loans = grant.loans.map((each) => each === loan ? left : each)
    .filter((each) => each.tokens > 0);
  return { ...grant, loans, spent: grant.spent + Math.max(0, size - unspent) };
}

/**
 * Debits a loan from the account. A transfer id that was answered before gets
 * the same answer and no further loan.
 *
 * `keep` is the number of tokens that the lender's own waiting requests need.
 * If these cannot be served either, `shortBy` is the shortfall of the smallest
 * of them. When both VMs have a shortfall, the tokens go to the one whose
 * shortfall the other can cover. If each can cover the other's, they go to the
 * one with the smaller shortfall.
 */
export function lendTokens(
  account: EventAccount,
  input: {
    readonly request: LoanRequest;
    readonly now: MonotonicTime;
    readonly keep: Tokens;
    readonly shortBy?: Tokens;
    /** Whether borrowed tokens may be lent on; true if absent. */
    readonly mayRelend?: boolean;
  },
): LendResult {
  const { request, now } = input;
  const previousAnswer = account.loanAnswers
    .find((each) => each.transferId === request.transferId);
  if (previousAnswer !== undefined) return { account, answer: previousAnswer };
  const room = computeAccountRoom(account, now);
  const hasPriority = hasBorrowerPriority(request, {
    room,
    shortBy: input.shortBy,
  });
  const available = Math.max(0, hasPriority ? room : room - input.keep);
  const lendable = available < request.least * MIN_LOAN_FRACTION
    ? 0
    : available;
  const ownParts = chooseParts(listLenderGrants(account, now), {
    transferId: request.transferId,
    tokens: computeLoanSize(request, lendable),
  });
  const remaining = lendable - sumTokens(ownParts);
  const relentParts = input.mayRelend === false ? [] : chooseRelentParts(
    account,
    {
      now,
      tokens: Math.min(remaining, request.least - sumTokens(ownParts)),
    },
  );
  const parts = [...ownParts, ...relentParts];
  const { transferId } = request;
  const answer = {
    transferId,
    tokens: sumTokens(parts),
    parts,
    reserved: computeReserved(account),
  };
  const lent = addLoans(account, {
    parts: ownParts,
    borrower: request.borrower,
  });
  const debited = debitRelentParts(lent, relentParts);
  const loanAnswers = [...account.loanAnswers, answer].slice(-MAX_LOAN_ANSWERS);
  return { account: { ...debited, loanAnswers }, answer };
}

/**
 * Chooses the parts of borrowed loans to re-lend. Each part gets its own id,
 * derived from the id of the loan, under which the budget row accepts its
 * return once. Re-lent parts only cover the shortfall that remains after the
 * lender's own grants.
 */
function chooseRelentParts(
  account: EventAccount,
  input: { readonly now: MonotonicTime; readonly tokens: Tokens },
): LoanPart[] {
  const parts: LoanPart[] = [];
  let missing = input.tokens;
  for (const grant of account.grants) {
    const { lenderGrantId } = grant;
    const tokens = Math.min(missing, computeGrantRoom(grant));
    if (lenderGrantId === undefined || tokens <= 0) continue;
    if (!isGrantOpen(grant, input.now)) continue;
    if (grant.parts >= MAX_RELENT_PARTS) continue;
    const transferId = formatPartId(grant);
    parts.push({ transferId, lenderGrantId, tokens });
    missing -= tokens;
  }
  return parts;
}

function formatPartId(grant: Grant): string {
  return `${grant.id}${PART_SEPARATOR}${grant.parts + 1}`;
}

function debitRelentParts(
  account: EventAccount,
  parts: readonly LoanPart[],
): EventAccount {
  const grants = account.grants.map((grant) => {
    const part = parts.find((each) => each.transferId === formatPartId(grant));
    if (part === undefined) return grant;
    return {
      ...grant,
      size: grant.size - part.tokens,
      parts: grant.parts + 1,
    };
  });
  return removeSpentLoans({ ...account, grants });
}

function sumTokens(parts: readonly LoanPart[]): Tokens {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}

function hasBorrowerPriority(
  request: LoanRequest,
  lender: { readonly room: Tokens; readonly shortBy: Tokens | undefined },
): boolean {
  const { room, shortBy } = lender;
  if (shortBy === undefined || request.least > room) return false;
  const canBorrowerCover = shortBy <= (request.room ?? Infinity);
  return !canBorrowerCover || request.least < shortBy;
}

/**
 * Returns the lender's own grants that may lend, those with the most available
 * tokens first.
 */
function listLenderGrants(
  account: EventAccount,
  now: MonotonicTime,
): Grant[] {
  return account.grants
    .filter((grant) => grant.lenderGrantId === undefined)
    .filter((grant) => isGrantOpen(grant, now))
    .filter((grant) => grant.loans.length < MAX_LOANS_PER_GRANT)
    .sort((left, right) => computeGrantRoom(right) - computeGrantRoom(left));
}

function computeLoanSize(request: LoanRequest, lendable: Tokens): Tokens {
  const limit = Math.max(request.least, Math.floor(lendable / 2));
  return Math.min(request.wanted, limit, lendable);
}

function chooseParts(
  lenders: readonly Grant[],
  loan: { readonly transferId: string; readonly tokens: Tokens },
): LoanPart[] {
  const parts: LoanPart[] = [];
  let missing = loan.tokens;
  for (const grant of lenders) {
    const tokens = Math.min(missing, computeGrantRoom(grant));
    if (tokens <= 0) continue;
    const transferId = `${loan.transferId}/${parts.length}`;
    parts.push({ transferId, lenderGrantId: grant.id, tokens });
    missing -= tokens;
  }
  return parts;
}

function addLoans(
  account: EventAccount,
  loan: {
    readonly parts: readonly LoanPart[];
    readonly borrower: VmIncarnation;
  },
): EventAccount {
  const { parts, borrower } = loan;
  return parts.reduce(
    (debited, { transferId, lenderGrantId, tokens }) =>
      changeGrant(debited, lenderGrantId, (grant) => ({
        ...grant,
        loans: [...grant.loans, { transferId, tokens, borrower }],
      })),
    account,
  );
}
