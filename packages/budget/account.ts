/**
 * One event's account on one VM: the grants that the VM holds, and the tokens
 * reserved, lent and spent from them. Tokens are reserved and spent in memory;
 * the number of spent tokens is written to the store when a grant is closed.
 *
 * Invariant of every grant: `spent + reserved + lent <= size`.
 */
import type {
  EventId,
  Incarnation,
  MonotonicTime,
  Tokens,
  VmId,
} from "../core/mod.ts";
import type { GrantExchange } from "./rows/exchange_grants.ts";

/** Separates a loan's id from the number of a part that was re-lent. */
export const PART_SEPARATOR = "+";

/** One incarnation of the process on one VM. */
export interface VmIncarnation {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}

/**
 * A loan made from one grant. Its tokens count as lent until the borrower, and
 * the VMs that it has lent parts on to, settle what they have of it. Unspent
 * tokens that they return to the budget row instead are recorded there only.
 */
export interface OutstandingLoan {
  /**
   * Based on the id chosen by the borrower; unique over all VMs and
   * incarnations.
   */
  readonly transferId: string;
  /** Tokens that are not settled yet. */
  readonly tokens: Tokens;
  readonly borrower: VmIncarnation;
  /** Ids of the settled parts; absent while there are none. */
  readonly settledParts?: readonly string[];
}

/** Tokens moved from an event's budget to one VM, or lent by another VM. */
export interface Grant {
  /**
   * Unique over all VMs and incarnations: `vm/incarnation/number`, or the
   * transfer id when the grant is a loan.
   */
  readonly id: string;
  readonly size: Tokens;
  /**
   * Tokens spent by requests that have ended, and tokens of loans that their
   * borrowers have reported as fully spent.
   */
  readonly spent: Tokens;
  /** Tokens held by requests in progress. */
  readonly reserved: Tokens;
  /** From this time on, the grant takes no new reservation. */
  readonly deadline: MonotonicTime;
  /**
   * True once closing the grant was planned; it takes no new reservation and
   * makes no new loan.
   */
  readonly closing: boolean;
  /** Loans made from this grant. */
  readonly loans: readonly OutstandingLoan[];
  /**
   * Number of parts that were re-lent to other VMs, when the grant is a loan.
   */
  readonly parts: number;
  /** Id of the lender's grant, when the grant is a loan from another VM. */
  readonly lenderGrantId?: string;
}

/** A loan that was requested from a peer and not yet received. */
export interface PendingLoan {
  readonly transferId: string;
  readonly lender: VmId;
  readonly wanted: Tokens;
  readonly askedAt: MonotonicTime;
}

/** The part of a loan that comes from one grant of the lender. */
export interface LoanPart {
  /**
   * Unique over all loans and their parts; a part's id begins with its loan's
   * id.
   */
  readonly transferId: string;
  /** Id of the grant that the tokens come from. */
  readonly lenderGrantId: string;
  readonly tokens: Tokens;
}

/** A lender's answer to a loan request; zero tokens are a refusal. */
export interface LoanAnswer {
  readonly transferId: string;
  /** Sum of the tokens of all parts. */
  readonly tokens: Tokens;
  readonly parts: readonly LoanPart[];
  /**
   * Tokens reserved by the lender's requests in progress; most of them become
   * available again when the requests end.
   */
  readonly reserved: Tokens;
}

/**
 * A loan, or a re-lent part of one, that its borrower has fully spent or given
 * up.
 */
export interface SettledLoan {
  readonly transferId: string;
  readonly lenderGrantId: string;
  /** Tokens that the borrower had of it, without those that it re-lent. */
  readonly size: Tokens;
  /** Tokens that the lender gets back. */
  readonly unspent: Tokens;
}

/**
 * Maximum number of settled loans that are kept until they are reported to
 * their lenders. Lenders keep counting older ones as lent, and write them to
 * the store as loans when they close the grant.
 */
const MAX_SETTLED_LOANS = 64;

/** Immutable snapshot of one event's account. */
export interface EventAccount {
  readonly eventId: EventId;
  readonly grants: readonly Grant[];
  /** Smoothed rate of spending in tokens per second, as of {@link lastDraw}. */
  readonly drawRate: number;
  /**
   * Smoothed rate of reserving in tokens per second, as of {@link lastDraw}.
   */
  readonly demandRate: number;
  /** Smoothed average size of a reservation in tokens; 0 before the first. */
  readonly usualHold: Tokens;
  /** When the rates were last updated. */
  readonly lastDraw: MonotonicTime;
  /** When tokens were last returned to the budget. */
  readonly lastReturn: MonotonicTime;
  readonly pendingLoans: readonly PendingLoan[];
  /** Settled loans that were not yet reported to their lenders. */
  readonly settledLoans: readonly SettledLoan[];
  /**
   * Latest answers that this VM gave to loan requests; a repeated request gets
   * the same answer.
   */
  readonly loanAnswers: readonly LoanAnswer[];
  /** The planned exchange that the store has not confirmed yet. */
  readonly exchange?: GrantExchange;
}

/** Tokens of one grant reserved for one request. */
export interface ReservationPart {
  readonly grantId: string;
  readonly tokens: Tokens;
}

/** Tokens reserved for one request, from one or more grants. */
export interface Reservation {
  readonly eventId: EventId;
  readonly tokens: Tokens;
  /** The parts add up to `tokens`. */
  readonly parts: readonly ReservationPart[];
}

/** Returns the account of an event that holds no grant. */
export function createEventAccount(eventId: EventId): EventAccount {
  return {
    eventId,
    grants: [],
    drawRate: 0,
    demandRate: 0,
    usualHold: 0,
    lastDraw: 0,
    lastReturn: 0,
    pendingLoans: [],
    settledLoans: [],
    loanAnswers: [],
  };
}

/** Returns the tokens lent from a grant. */
export function computeLent(grant: Grant): Tokens {
  return grant.loans.reduce((sum, loan) => sum + loan.tokens, 0);
}

/**
 * Returns a grant's available tokens: those neither spent, reserved nor lent.
 */
export function computeGrantRoom(grant: Grant): Tokens {
  return grant.size - grant.spent - grant.reserved - computeLent(grant);
}

/** Returns whether a grant may take a new reservation or make a new loan. */
export function isGrantOpen(grant: Grant, now: MonotonicTime): boolean {
  return !grant.closing && now < grant.deadline;
}

/** Returns the tokens reserved by requests in progress. */
export function computeReserved(account: EventAccount): Tokens {
  return account.grants.reduce((sum, grant) => sum + grant.reserved, 0);
}

/** Returns the tokens that can be reserved now, over all open grants. */
export function computeAccountRoom(
  account: EventAccount,
  now: MonotonicTime,
): Tokens {
  return account.grants
    .filter((grant) => isGrantOpen(grant, now))
    .reduce((sum, grant) => sum + computeGrantRoom(grant), 0);
}

/** Returns the account with one grant replaced. */
export function changeGrant(
  account: EventAccount,
  grantId: string,
  change: (grant: Grant) => Grant,
): EventAccount {
  const grants = account.grants.map((grant) =>
    grant.id === grantId ? change(grant) : grant
  );
  return { ...account, grants };
}

/**
 * Returns the account without fully spent loans. The next report to a lender
 * lists them. Nothing is reported to the store, which counts lent tokens as used
 * until they are returned.
 */
export function removeSpentLoans(account: EventAccount): EventAccount {
  return removeLoans(account, isSpentLoan);
}

/**
 * Returns the account without loans that are neither reserved from nor part of
 * an exchange. Their lenders get the unspent tokens back with the next report,
 * which is sent again until it is answered; these tokens are never returned to
 * the budget row as well. Of a loan that was lent on in part, that is what is
 * left; whoever has the part gives it back itself.
 */
export function releaseLoans(
  account: EventAccount,
  input: {
    /** Tokens of loans that stay, at least, if there are as many. */
    readonly keep: Tokens;
    /** Whether the lender of a grant can be told now. */
    isReachable(lenderGrantId: string): boolean;
  },
): EventAccount {
  const loans = account.grants.filter((grant) =>
    grant.lenderGrantId !== undefined && grant.reserved === 0 &&
    !grant.closing
  );
  let left = loans.reduce((sum, loan) => sum + computeGrantRoom(loan), 0);
  const returned = loans.filter((loan) => {
    const rest = left - computeGrantRoom(loan);
    if (rest < input.keep || !input.isReachable(loan.lenderGrantId!)) {
      return false;
    }
    left = rest;
    return true;
  });
  return removeLoans(account, (grant) => returned.includes(grant));
}

/** Moves loans from the grants to the settled loans. */
function removeLoans(
  account: EventAccount,
  isRemoved: (grant: Grant) => boolean,
): EventAccount {
  const grants = account.grants.filter((grant) => !isRemoved(grant));
  if (grants.length === account.grants.length) return account;
  const settled = account.grants
    .filter((grant) => isRemoved(grant) && grant.size > 0)
    .map(({ id, lenderGrantId, size, spent }) => ({
      transferId: id,
      lenderGrantId: lenderGrantId!,
      size,
      unspent: size - spent,
    }));
  const settledLoans = [...account.settledLoans, ...settled]
    .slice(-MAX_SETTLED_LOANS);
  return { ...account, grants, settledLoans };
}

/**
 * Returns the id of the loan that a re-lent part belongs to; a loan's own id is
 * unchanged.
 */
export function readRootLoanId(transferId: string): string {
  return transferId.split(PART_SEPARATOR, 1)[0] ?? transferId;
}

function isSpentLoan(grant: Grant): boolean {
  return grant.lenderGrantId !== undefined && grant.spent === grant.size;
}
