/**
 * Changes of a budget row that concern standby grants: tokens that a VM holds
 * but may use only as they are unlocked, when its last presence update was sent
 * some time ago.
 */
import type { Tokens, WallTime } from "../../core/mod.ts";
import type { VmIncarnation } from "../account.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  removeKey,
} from "../rows/budget_row.ts";
import { findEntry } from "../rows/row_changes.ts";

/** Ends the id of each standby grant, also after it was unlocked. */
const STANDBY_SUFFIX = "s";

/** Returns the id of the standby grant that an exchange takes. */
export function createStandbyGrantId(exchangeId: string): string {
  return `${exchangeId}${STANDBY_SUFFIX}`;
}

/** Returns whether a grant was taken as a standby grant. */
export function isStandbyGrantId(grantId: string): boolean {
  return grantId.endsWith(STANDBY_SUFFIX);
}

/** Standby tokens to move from the budget to a VM. */
export interface StandbyTake {
  readonly grantId: string;
  readonly holder: VmIncarnation;
  readonly wanted: Tokens;
  readonly wallTime: WallTime;
}

/** Changes of a VM's standby grants as part of an exchange. */
export interface StandbyExchange {
  /** Ids of unused standby grants that are returned in full. */
  readonly drops?: readonly string[];
  /** Ids of standby grants that are in use now and become regular grants. */
  readonly used?: readonly string[];
  readonly take?: StandbyTake;
}

/**
 * Converts standby grants in use to regular grants and removes returned ones,
 * before the other changes of an exchange.
 */
export function applyStandbyReturn(
  row: BudgetRow,
  exchange: StandbyExchange,
): BudgetRow {
  let changed = row;
  for (const id of exchange.used ?? []) changed = convertToRegular(changed, id);
  for (const id of exchange.drops ?? []) {
    if (changed.grants[id] === undefined) continue;
    changed = { ...changed, grants: removeKey(changed.grants, id) };
  }
  return changed;
}

/**
 * Adds a standby grant, after the other changes of an exchange. It is smaller
 * than wanted if the budget has fewer tokens left. If none are left, or the row
 * already has the grant, nothing is added.
 */
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

function convertToRegular(row: BudgetRow, grantId: string): BudgetRow {
  const entry = row.grants[grantId];
  if (entry?.standby !== true) return row;
  const { standby: _, ...used } = entry;
  return { ...row, grants: { ...row.grants, [grantId]: used } };
}
