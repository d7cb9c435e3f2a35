/**
 * Lends tokens to another VM. The loan is debited from the lender's own grants
 * before the answer is sent, and stays debited: a lost answer strands
 * the tokens and never makes any.
 */
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import {
  changeGrant,
  computeAccountRoom,
  computeGrantRoom,
  computeReserved,
  isGrantOpen,
  PART_SEPARATOR,
  removeSpentLoans,
} from "../account.ts";
import type {
  EventAccount,
  Grant,
  LoanAnswer,
  LoanPart,
  OutstandingLoan,
  VmIncarnation,
} from "../account.ts";

/** Most loans that are made from one grant. */
export const MAX_LOANS_PER_GRANT = 128;

/** Part of what is lacking below which a loan is not worth its message. */
const LEAST_PART = 0.1;

/** Most parts of one loan that are handed on by one VM. */
export const MAX_PARTS_PER_LOAN = 32;

/** Most answers that are remembered for repeated requests. */
export const MAX_LOAN_ANSWERS = 64;

/** One VM's request for a loan. */
export interface LoanRequest {
  readonly transferId: string;
  readonly wanted: Tokens;
  /** What a waiting request lacks; lent beyond half of the room if need be. */
  readonly least: Tokens;
  /** Tokens that the borrower has unreserved; unknown when absent. */
  readonly room?: Tokens;
  readonly borrower: VmIncarnation;
  /** Transfer ids of earlier loans of this lender that were spent whole. */
  readonly spent?: readonly string[];
}

/** The lender's account after the debit, and the answer to send. */
export interface LendResult {
  readonly account: EventAccount;
  readonly answer: LoanAnswer;
}

/**
 * Counts loans that their borrowers have spent whole as spent, so that the table
 * need not keep them.
 */
export function settleSpentLoans(
  account: EventAccount,
  transferIds: readonly string[],
): EventAccount {
  if (transferIds.length === 0) return account;
  const isSpent = (loan: OutstandingLoan) =>
    transferIds.includes(loan.transferId);
  const grants = account.grants.map((grant) => {
    // A closing grant's loans are on their way to the table.
    if (grant.closing) return grant;
    const tokens = grant.loans.filter(isSpent)
      .reduce((sum, loan) => sum + loan.tokens, 0);
    if (tokens === 0) return grant;
    const loans = grant.loans.filter((loan) => !isSpent(loan));
    return { ...grant, loans, spent: grant.spent + tokens };
  });
  return { ...account, grants };
}

/**
 * Debits a loan. A transfer id that was answered before gets the same answer.
 *
 * `keep` is what the lender's own waiting requests need. Where these cannot be
 * served either, `shortBy` says what the smallest of them lacks. Of two VMs
 * that are both short, the one whose lack the other can cover gets the tokens,
 * and if each could cover the other, the one that lacks less.
 */
export function lendTokens(
  account: EventAccount,
  input: {
    readonly request: LoanRequest;
    readonly now: MonotonicTime;
    readonly keep: Tokens;
    readonly shortBy?: Tokens;
  },
): LendResult {
  const { request, now } = input;
  const given = account.loanAnswers
    .find((each) => each.transferId === request.transferId);
  if (given !== undefined) return { account, answer: given };
  const room = computeAccountRoom(account, now);
  const goesFirst = isBorrowerFirst(request, { room, shortBy: input.shortBy });
  const free = Math.max(0, goesFirst ? room : room - input.keep);
  const spare = free < request.least * LEAST_PART ? 0 : free;
  const own = chooseParts(listLenderGrants(account, now), {
    transferId: request.transferId,
    tokens: computeLoan(request, spare),
  });
  const most = spare - sumTokens(own);
  const handedOn = chooseHandedOn(account, {
    now,
    tokens: Math.min(most, request.least - sumTokens(own)),
  });
  const parts = [...own, ...handedOn];
  const { transferId } = request;
  const answer = {
    transferId,
    tokens: sumTokens(parts),
    parts,
    reserved: computeReserved(account),
  };
  const lent = addLoans(account, { parts: own, borrower: request.borrower });
  const debited = removeHandedOn(lent, handedOn);
  const loanAnswers = [...account.loanAnswers, answer].slice(-MAX_LOAN_ANSWERS);
  return { account: { ...debited, loanAnswers }, answer };
}

/**
 * Borrowed tokens that are handed on: each part gets an id of its own below the
 * loan's, under which the table takes it back once. Only what the request lacks
 * beyond the lender's own tokens is handed on.
 */
function chooseHandedOn(
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
    if (grant.parts >= MAX_PARTS_PER_LOAN) continue;
    const transferId = formatPartId(grant);
    parts.push({ transferId, lenderGrantId, tokens });
    missing -= tokens;
  }
  return parts;
}

function formatPartId(grant: Grant): string {
  return `${grant.id}${PART_SEPARATOR}${grant.parts + 1}`;
}

function removeHandedOn(
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

function isBorrowerFirst(
  request: LoanRequest,
  lender: { readonly room: Tokens; readonly shortBy: Tokens | undefined },
): boolean {
  const { room, shortBy } = lender;
  if (shortBy === undefined || request.least > room) return false;
  const couldBeHelped = shortBy <= (request.room ?? Infinity);
  return !couldBeHelped || request.least < shortBy;
}

/** Own grants, the roomiest first. */
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

function computeLoan(request: LoanRequest, spare: Tokens): Tokens {
  const fair = Math.max(request.least, Math.floor(spare / 2));
  return Math.min(request.wanted, fair, spare);
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
