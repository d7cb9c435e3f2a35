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
  readBudgetRow,
  sumOtherRates,
} from "../rows/budget_row.ts";
import { LossEvidenceKind, writeOffLives } from "../rows/write_off.ts";

/** What became of the grants of earlier lives. */
export interface EndedLives {
  /** Standby tokens that are free again. */
  readonly freed: Tokens;
  /** Tokens that count as spent. */
  readonly writtenOff: Tokens;
  /** Tokens a second that other VMs draw, by their word. */
  readonly othersRate: number;
}

/** Returns the operation that a new life of a VM runs for each budget. */
export function createEndEarlierLives(input: {
  readonly eventId: EventId;
  readonly vm: VmId;
  /** The present life. */
  readonly incarnation: Incarnation;
  /** The life that is known to have used no standby tokens. */
  readonly untouched: Incarnation | undefined;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): RowOperation<EndedLives> {
  const { vm, incarnation, wallTime } = input;
  const key = formatBudgetKey(input.eventId);
  return {
    id: `end-lives/${input.eventId}/${vm}/${incarnation}`,
    keys: [key],
    decide(rows) {
      const before = readBudgetRow(rows, input);
      const freed = freeStandby(before, input);
      const kind = LossEvidenceKind.LaterLife;
      const row = writeOffLives(freed.row, { kind, vm, incarnation }, wallTime);
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
  input: { readonly vm: VmId; readonly untouched: Incarnation | undefined },
): { readonly row: BudgetRow; readonly tokens: Tokens } {
  const isFree = (id: string) => {
    const entry = row.grants[id]!;
    return entry.standby === true && entry.vm === input.vm &&
      entry.incarnation === input.untouched;
  };
  const freed = Object.keys(row.grants).filter(isFree);
  if (freed.length === 0) return { row, tokens: 0 };
  const kept = Object.entries(row.grants).filter(([id]) => !isFree(id));
  return {
    row: { ...row, grants: Object.fromEntries(kept) },
    tokens: freed.reduce((sum, id) => sum + row.grants[id]!.size, 0),
  };
}
