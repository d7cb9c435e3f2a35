/**
 * One event's account on one VM: the grants it holds, what is reserved, lent
 * and spent. Tokens are reserved and spent from grants in memory; the table
 * hears of them when a grant is closed.
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

/** Stands between a loan's id and the number of a part that was handed on. */
export const PART_SEPARATOR = "+";

/** One life of the process on one VM. */
export interface VmIncarnation {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}

/** Tokens lent from one grant; they count as out until the table says otherwise. */
export interface OutstandingLoan {
  /** Chosen by the borrower, unique over all VMs and lives. */
  readonly transferId: string;
  readonly tokens: Tokens;
  readonly borrower: VmIncarnation;
}

/** Tokens moved from an event's budget to one VM, or lent by another VM. */
export interface Grant {
  /** Unique over all VMs and lives: `vm/incarnation/number`; a loan's transfer id. */
  readonly id: string;
  readonly size: Tokens;
  /** Settled by requests that ended. */
  readonly spent: Tokens;
  /** Held by requests in progress. */
  readonly reserved: Tokens;
  /** After this reading the grant takes no new reservation. */
  readonly deadline: MonotonicTime;
  /** True once its closing was planned: it takes no new reservation or loan. */
  readonly closing: boolean;
  /** Loans that were made from it. */
  readonly loans: readonly OutstandingLoan[];
  /** Number of parts of it that were handed on, when it is a loan itself. */
  readonly parts: number;
  /** The lender's grant, when these tokens are a loan from another VM. */
  readonly lenderGrantId?: string;
}

/** A loan that was asked for and not yet received. */
export interface PendingLoan {
  readonly transferId: string;
  readonly lender: VmId;
  readonly wanted: Tokens;
  readonly askedAt: MonotonicTime;
}

/** Tokens lent from one grant. */
export interface LoanPart {
  /** Unique over all loans and their parts; parts begin with their loan's id. */
  readonly transferId: string;
  /** The grant that the tokens come from. */
  readonly lenderGrantId: string;
  readonly tokens: Tokens;
}

/** What a lender answered; zero tokens are a refusal. */
export interface LoanAnswer {
  readonly transferId: string;
  /** The tokens of all parts. */
  readonly tokens: Tokens;
  readonly parts: readonly LoanPart[];
  /** Tokens that the lender's requests in progress hold; most come free. */
  readonly reserved: Tokens;
}

/** A loan that its borrower has spent whole, without handing a part on. */
export interface SpentLoan {
  readonly transferId: string;
  readonly lenderGrantId: string;
}

/** Most spent loans that are remembered; of older ones the table keeps count. */
const MAX_SPENT_LOANS = 64;

/** Immutable snapshot of one event's account. */
export interface EventAccount {
  readonly eventId: EventId;
  readonly grants: readonly Grant[];
  /** Drawing rate in tokens per second, smoothed, as of {@link lastDraw}. */
  readonly drawRate: number;
  /** Rate of reserving in tokens per second, smoothed, as of {@link lastDraw}. */
  readonly demandRate: number;
  /** Usual size of a reservation in tokens, smoothed; 0 before the first. */
  readonly usualHold: Tokens;
  /** When the rates were last brought up to date. */
  readonly lastDraw: MonotonicTime;
  /** When tokens were last returned because the rate had fallen. */
  readonly lastReturn: MonotonicTime;
  readonly pendingLoans: readonly PendingLoan[];
  /** Loans that were spent whole and of which their lenders don't know yet. */
  readonly spentLoans: readonly SpentLoan[];
  /** Latest answers to loan requests, given again when a request is repeated. */
  readonly loanAnswers: readonly LoanAnswer[];
  /** The exchange that was sent to the table and is not confirmed yet. */
  readonly exchange?: GrantExchange;
}

/** Tokens of one grant held for one request. */
export interface ReservationPart {
  readonly grantId: string;
  readonly tokens: Tokens;
}

/** Tokens held for one request, from as many grants as it took. */
export interface Reservation {
  readonly eventId: EventId;
  readonly tokens: Tokens;
  /** Their tokens add up to `tokens`. */
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
    spentLoans: [],
    loanAnswers: [],
  };
}

/** Returns the tokens lent from a grant. */
export function computeLent(grant: Grant): Tokens {
  return grant.loans.reduce((sum, loan) => sum + loan.tokens, 0);
}

/** Returns the tokens of a grant that are neither spent, reserved nor lent. */
export function computeGrantRoom(grant: Grant): Tokens {
  return grant.size - grant.spent - grant.reserved - computeLent(grant);
}

/** Tells whether a grant may take a new reservation or make a new loan. */
export function isGrantOpen(grant: Grant, now: MonotonicTime): boolean {
  return !grant.closing && now < grant.deadline;
}

/** Returns the tokens that requests in progress hold. */
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
 * Returns the account without the loans that were spent whole. These end
 * without a word to the table, which counts lent tokens as out until they return;
 * their lenders are told with the next request for a loan.
 */
export function removeSpentLoans(account: EventAccount): EventAccount {
  const grants = account.grants.filter((grant) => !isSpentLoan(grant));
  if (grants.length === account.grants.length) return account;
  const spent = account.grants
    .filter((grant) => isSpentLoan(grant) && isWholeLoan(grant))
    .map(({ id, lenderGrantId }) => ({
      transferId: id,
      lenderGrantId: lenderGrantId!,
    }));
  const spentLoans = [...account.spentLoans, ...spent].slice(-MAX_SPENT_LOANS);
  return { ...account, grants, spentLoans };
}

/** Whether a loan is as it was lent: of what was handed on others decide. */
function isWholeLoan(grant: Grant): boolean {
  return grant.parts === 0 && !grant.id.includes(PART_SEPARATOR);
}

function isSpentLoan(grant: Grant): boolean {
  return grant.lenderGrantId !== undefined && grant.spent === grant.size;
}
