/** Changes of a budget row that concern standby tokens. */
import type { Tokens, WallTime } from "../../core/mod.ts";
import type { VmIncarnation } from "../account.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  removeKey,
} from "../rows/budget_row.ts";
import { findEntry } from "../rows/row_changes.ts";

/** Standby tokens to move from the budget to a VM. */
export interface StandbyTake {
  readonly grantId: string;
  readonly holder: VmIncarnation;
  readonly wanted: Tokens;
  readonly wallTime: WallTime;
}

/** What an exchange does with a VM's standby tokens. */
export interface StandbyExchange {
  /** Standby grants that were not used and go back whole. */
  readonly drops?: readonly string[];
  /** Standby grants whose use has begun; they are grants like others now. */
  readonly used?: readonly string[];
  readonly take?: StandbyTake;
}

/** Carries out what an exchange does before its other parts. */
export function applyStandbyReturn(
  row: BudgetRow,
  exchange: StandbyExchange,
): BudgetRow {
  let changed = row;
  for (const id of exchange.used ?? []) changed = changeToUsed(changed, id);
  for (const id of exchange.drops ?? []) {
    if (changed.grants[id] === undefined) continue;
    changed = { ...changed, grants: removeKey(changed.grants, id) };
  }
  return changed;
}

/** Carries out what an exchange does after its other parts. */
export function applyStandbyTake(
  row: BudgetRow,
  take: StandbyTake | undefined,
): BudgetRow {
  if (take === undefined || findEntry(row, take.grantId) !== undefined) {
    return row;
  }
  const size = Math.min(take.wanted, computeBudgetLeft(row));
  if (size <= 0) return row;
  const entry = {
    ...take.holder,
    size,
    takenAt: take.wallTime,
    standby: true,
  };
  return { ...row, grants: { ...row.grants, [take.grantId]: entry } };
}

function changeToUsed(row: BudgetRow, grantId: string): BudgetRow {
  const entry = row.grants[grantId];
  if (entry?.standby !== true) return row;
  const { standby: _, ...used } = entry;
  return { ...row, grants: { ...row.grants, [grantId]: used } };
}
