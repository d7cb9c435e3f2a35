/**
 * Ends the grants of earlier lives of a VM: standby tokens that a life can't
 * have used are free again, everything else counts as spent.
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

/** What became of the grants of earlier lives. */
export interface EndedIncarnations {
  /** Standby tokens that are free again. */
  readonly freed: Tokens;
  /** Tokens that count as spent. */
  readonly writtenOff: Tokens;
  /** Tokens a second that other VMs draw, by their word. */
  readonly othersRate: number;
}

/** Returns the operation that a new life of a VM runs for each budget. */
export function createEndEarlierIncarnations(input: {
  readonly eventId: EventId;
  readonly vm: VmId;
  /** The present life. */
  readonly incarnation: Incarnation;
  /** The latest of them, if its standby tokens can't all have been open. */
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
      const kind = LossEvidenceKind.LaterLife;
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
          othersRate: sumOtherRates(row, vm),
        },
      };
    },
  };
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
    const isJudged = entry.standby === true && entry.vm === vm &&
      entry.incarnation === earlier.incarnation &&
      !earlier.inUse.includes(id);
    const size = isJudged ? computeMostUsed(entry, earlier) : entry.size;
    tokens += entry.size - size;
    if (size > 0) grants[id] = size === entry.size ? entry : { ...entry, size };
  }
  return tokens === 0 ? { row, tokens } : { row: { ...row, grants }, tokens };
}

/** Loans that came back are not in the size, but were open when it was lent. */
function computeMostUsed(
  entry: GrantEntry,
  earlier: EarlierIncarnation,
): Tokens {
  const returned = Object.values(entry.returned ?? {})
    .reduce((sum, each) => sum + each, 0);
  const open = Math.ceil((entry.size + returned) * earlier.unlockedFraction);
  return Math.min(entry.size, Math.max(0, open - returned));
}
