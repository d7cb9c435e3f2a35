/** Takes a grant: moves tokens from a budget to a VM. */
import type {
  EventId,
  Incarnation,
  RowOperation,
  Tokens,
  VmId,
  WallTime,
} from "../../core/mod.ts";
import {
  createGrantExchange,
  type GrantExchangeResult,
} from "./exchange_grants.ts";
import type { GrantClose, LoanReturn } from "./row_changes.ts";

/** Outcome of taking a grant. */
export type TakeGrantResult = GrantExchangeResult;

/** A VM's request for a grant. */
export interface TakeGrantInput {
  readonly eventId: EventId;
  readonly grantId: string;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly wanted: Tokens;
  /** Smallest useful number; when fewer tokens are left, nothing is granted. */
  readonly least: Tokens;
  /** Limit of an event whose row does not exist yet. */
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
  /** Grants to close in the same write. */
  readonly closes?: readonly GrantClose[];
  /** Loans to return in the same write. */
  readonly returns?: readonly LoanReturn[];
}

/** Returns the row operation that takes a grant from an event's budget. */
export function createTakeGrant(
  input: TakeGrantInput,
): RowOperation<TakeGrantResult> {
  const { eventId, grantId, initialLimit, vm, incarnation } = input;
  return createGrantExchange({
    id: grantId,
    eventId,
    initialLimit,
    closes: input.closes ?? [],
    returns: input.returns ?? [],
    take: {
      grantId,
      holder: { vm, incarnation },
      wanted: input.wanted,
      least: input.least,
      wallTime: input.wallTime,
    },
  });
}
