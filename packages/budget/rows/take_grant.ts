/** Moves tokens from a budget to a VM. */
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

/** What became of asking for a grant. */
export type TakeGrantResult = GrantExchangeResult;

/** What a VM asks for. */
export interface TakeGrantInput {
  readonly eventId: EventId;
  readonly grantId: string;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly wanted: Tokens;
  readonly least: Tokens;
  /** Limit of an event whose row does not exist yet. */
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
  /** Grants to close in the same write. */
  readonly closes?: readonly GrantClose[];
  /** Loans to return in the same write. */
  readonly returns?: readonly LoanReturn[];
}

/** Returns the operation that takes a grant from an event's budget. */
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
