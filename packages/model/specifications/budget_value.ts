/**
 * The budget row of the grants and top-ups models and the decisions on it. A
 * test compares them with the row operations of packages/budget.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck } from "../specification.ts";

/** Number of tokens that the top-up adds. */
export const TOP_UP = 1;

/** Number of tokens in each grant and in each reservation. */
export const GRANT_SIZE = 1;

/** Value of the budget row. */
export interface BudgetValue {
  /** Tokens of the event, top-ups included. */
  readonly limit: number;
  /** Tokens that count as spent by closed and written-off grants. */
  readonly closed: number;
  /** Size of each open grant by slot; 0 if no grant is open in the slot. */
  readonly grants: readonly number[];
  /** Size of each written-off grant by slot; its holder may still close it. */
  readonly writeOffs: readonly number[];
  /** Whether the id of the top-up is stored. */
  readonly toppedUp: boolean;
}

/** Kinds of operations on the budget row. */
export enum CallKind {
  Take = "take",
  Close = "close",
  TopUp = "topup",
  WriteOff = "writeoff",
}

/** An operation that a VM carries out on the budget row. */
export interface BudgetCall {
  readonly kind: CallKind;
  readonly slot: number;
  /** Tokens that the holder of a closed grant reports as spent. */
  readonly spent: number;
}

/**
 * Decides a call from the row's value. Returns the new value, or undefined if
 * nothing is to be written.
 */
export function decideBudgetCall(
  value: BudgetValue,
  call: BudgetCall,
  isOn: GuardCheck,
): BudgetValue | undefined {
  const held = value.grants[call.slot] ?? 0;
  const lost = value.writeOffs[call.slot] ?? 0;
  switch (call.kind) {
    case CallKind.Take:
      if (held + lost > 0 || computeLeft(value) < GRANT_SIZE) return undefined;
      return changeGrant(value, call.slot, GRANT_SIZE);
    case CallKind.Close:
      if (lost > 0) return closeWriteOff(value, call);
      return held === 0 ? undefined : closeGrant(value, call);
    case CallKind.TopUp:
      if (value.toppedUp) return undefined;
      return {
        ...value,
        limit: value.limit + TOP_UP,
        toppedUp: isOn(Guard.TopUpIdKept),
      };
    case CallKind.WriteOff: {
      if (held === 0) return undefined;
      const spent = isOn(Guard.WriteOffWhole) ? held : 0;
      const closed = closeGrant(value, { ...call, spent });
      return changeWriteOff(closed, call.slot, held);
    }
  }
}

/**
 * Repeats a call after a lost answer without checking whether its first write
 * was applied, as a VM without `ReadBackBeforeRetry` would.
 */
export function decideWithoutReadBack(
  value: BudgetValue,
  call: BudgetCall,
  isOn: GuardCheck,
): BudgetValue | undefined {
  switch (call.kind) {
    case CallKind.Take:
      return changeGrant(value, call.slot, GRANT_SIZE);
    case CallKind.Close:
    case CallKind.WriteOff:
      return closeGrant(value, { ...call, spent: call.spent });
    case CallKind.TopUp:
      return decideBudgetCall({ ...value, toppedUp: false }, call, isOn);
  }
}

export function closeGrant(value: BudgetValue, call: BudgetCall): BudgetValue {
  const changed = changeGrant(value, call.slot, 0);
  return { ...changed, closed: value.closed + call.spent };
}

/**
 * Closes a written-off grant whose holder was only paused. Its unspent tokens
 * return to the budget.
 */
export function closeWriteOff(
  value: BudgetValue,
  call: BudgetCall,
): BudgetValue {
  const size = value.writeOffs[call.slot]!;
  const changed = changeWriteOff(value, call.slot, 0);
  return { ...changed, closed: value.closed - (size - call.spent) };
}

export function changeWriteOff(
  value: BudgetValue,
  slot: number,
  size: number,
): BudgetValue {
  const writeOffs = value.writeOffs
    .map((each, index) => index === slot ? size : each);
  return { ...value, writeOffs };
}

export function changeGrant(
  value: BudgetValue,
  slot: number,
  size: number,
): BudgetValue {
  const grants = value.grants.map((each, index) =>
    index === slot ? size : each
  );
  return { ...value, grants };
}

export function computeOpen(value: BudgetValue): number {
  return value.grants.reduce((sum, size) => sum + size, 0);
}

export function computeLeft(value: BudgetValue): number {
  return value.limit - value.closed - computeOpen(value);
}
