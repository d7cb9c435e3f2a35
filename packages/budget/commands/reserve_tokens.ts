/** Reserves tokens for a request before it is dispatched. */
import { type Either, Left, Right } from "purify-ts";
import type { MonotonicTime, Tokens } from "../../core/mod.ts";
import { computeGrantRoom, isGrantOpen } from "../account.ts";
import type {
  EventAccount,
  Grant,
  Reservation,
  ReservationPart,
} from "../account.ts";
import { recordUsage } from "../account_rates.ts";

/** The outcome when an account has too few tokens available. */
export interface Shortfall {
  /** Tokens by which the available ones fall short of the request. */
  readonly missing: Tokens;
}

/** The account after a reservation, and the reservation. */
export interface ReserveResult {
  readonly account: EventAccount;
  readonly reservation: Reservation;
}

/**
 * Reserves tokens from the open grants, spread over as many as needed, or
 * reserves nothing when all of them together have too few. Grants with the
 * earliest deadline are used first, so that old grants are used up and closed.
 */
export function reserveTokens(
  account: EventAccount,
  input: { readonly tokens: Tokens; readonly now: MonotonicTime },
): Either<Shortfall, ReserveResult> {
  const { tokens, now } = input;
  const open = account.grants
    .filter((grant) => isGrantOpen(grant, now))
    .sort((left, right) => left.deadline - right.deadline);
  const parts = chooseParts(open, tokens);
  const covered = parts.reduce((sum, part) => sum + part.tokens, 0);
  if (covered < tokens) return Left({ missing: tokens - covered });
  const recorded = recordUsage(account, { reserved: tokens, now });
  return Right({
    account: { ...recorded, grants: addReserved(account.grants, parts) },
    reservation: { eventId: account.eventId, tokens, parts },
  });
}

function chooseParts(
  open: readonly Grant[],
  tokens: Tokens,
): ReservationPart[] {
  const parts: ReservationPart[] = [];
  let missing = tokens;
  for (const grant of open) {
    const taken = Math.min(missing, computeGrantRoom(grant));
    if (taken <= 0) continue;
    parts.push({ grantId: grant.id, tokens: taken });
    missing -= taken;
  }
  return parts;
}

function addReserved(
  grants: readonly Grant[],
  parts: readonly ReservationPart[],
): Grant[] {
  return grants.map((grant) => {
    const part = parts.find((each) => each.grantId === grant.id);
    if (part === undefined) return grant;
    return { ...grant, reserved: grant.reserved + part.tokens };
  });
}
