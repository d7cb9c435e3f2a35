/**
 * Ends the grants of earlier incarnations of a VM. Standby tokens that the
 * latest of them can't have used are freed; all other tokens count as spent.
 */
import type {
  EventId,
  Incarnation,
  JsonValue,
  RowOperation,
  Tokens,
  VmId,
  WallTime,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  formatBudgetKey,
  type GrantEntry,
  readBudgetRow,
  sumOtherRates,
} from "../rows/budget_row.ts";
import { LossEvidenceKind, writeOffIncarnations } from "../rows/write_off.ts";
import type { EarlierIncarnation } from "./presence_row.ts";

/** Result of ending the grants of earlier incarnations. */
export interface EndedIncarnations {
  /** Standby tokens that were returned to the budget. */
  readonly freed: Tokens;
  /** Tokens that count as spent. */
  readonly writtenOff: Tokens;
  /** Those of them that the incarnations had reported as spent. */
  readonly reportedSpent: Tokens;
  /**
   * Total spending rate that the other VMs last reported, in tokens per second.
   */
  readonly othersRate: number;
}

/**
 * Returns the operation that a new incarnation of a VM runs for each budget.
 */
export function createEndEarlierIncarnations(input: {
  readonly eventId: EventId;
  readonly vm: VmId;
  /** The current incarnation. */
  readonly incarnation: Incarnation;
  /**
   * The latest earlier incarnation, if there is evidence of how much of its
   * standby tokens was unlocked; without it all of them count as spent.
   */
  readonly earlier: EarlierIncarnation | undefined;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): RowOperation<EndedIncarnations> {
  const { vm, incarnation, wallTime } = input;
  const key = formatBudgetKey(input.eventId);
  return {
    id: `end-lives/${input.eventId}/${vm}/${incarnation}`,
    keys: [key],
    decide(rows) {
      const before = readBudgetRow(rows, input);
      const freed = freeStandby(before, input);
      const kind = LossEvidenceKind.LaterIncarnation;
      const row = writeOffIncarnations(
        freed.row,
        { kind, vm, incarnation },
        wallTime,
      );
      const value: JsonValue = { ...row };
      return {
        writes: row === before ? [] : [{ key, value }],
        result: {
          freed: freed.tokens,
          writtenOff: (row.writtenOff ?? 0) - (before.writtenOff ?? 0),
          reportedSpent: sumReportedSpent(freed.row) - sumReportedSpent(row),
          othersRate: sumOtherRates(row, vm),
        },
      };
    },
  };
}

/** Returns the tokens of open grants that their holders reported as spent. */
function sumReportedSpent({ grants }: BudgetRow): Tokens {
  return Object.values(grants)
    .reduce<Tokens>((sum, grant) => sum + (grant.spent ?? 0), 0);
}

function freeStandby(
  row: BudgetRow,
  input: {
    readonly vm: VmId;
    readonly earlier: EarlierIncarnation | undefined;
  },
): { readonly row: BudgetRow; readonly tokens: Tokens } {
  const { vm, earlier } = input;
  if (earlier === undefined) return { row, tokens: 0 };
  let tokens = 0;
  const grants: Record<string, GrantEntry> = {};
  for (const [id, entry] of Object.entries(row.grants)) {
    const isReleasable = entry.standby === true && entry.vm === vm &&
      entry.incarnation === earlier.incarnation &&
      !earlier.inUse.includes(id);
    const size = isReleasable ? computeMaxUsed(entry, earlier) : entry.size;
    tokens += entry.size - size;
    if (size > 0) grants[id] = size === entry.size ? entry : { ...entry, size };
  }
  return tokens === 0 ? { row, tokens } : { row: { ...row, grants }, tokens };
}

/**
 * Returns the maximum number of tokens of a standby grant's current size that
 * can have been used. Returned loans are no longer part of the size, but were
 * part of the unlocked tokens when they were lent.
 */
function computeMaxUsed(
  entry: GrantEntry,
  earlier: EarlierIncarnation,
): Tokens {
  const returned = Object.values(entry.returned ?? {})
    .reduce((sum, each) => sum + each, 0);
  const unlocked = Math.ceil(
    (entry.size + returned) * earlier.unlockedFraction,
  );
  return Math.min(entry.size, Math.max(0, unlocked - returned));
}
