/**
 * Writes off the grants of a lost VM life.
 *
 * A write-off frees nothing: the whole grant moves to `closed` and is counted
 * as written off, so it stays safe when the evidence was wrong and the holder
 * only slept. A holder that wakes and closes its grant gets the unspent rest
 * back for the budget once, while the entry is among the ones kept singly.
 */
import { type Either, Left, Right } from "purify-ts";
import type {
  EventId,
  Incarnation,
  JsonValue,
  Millis,
  RowOperation,
  Tokens,
  VmId,
  WallTime,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  filterNewest,
  formatBudgetKey,
  MAX_WRITE_OFFS,
  readBudgetRow,
} from "./budget_row.ts";

/** What a loss can be concluded from. */
export enum LossEvidenceKind {
  /** The table holds a heartbeat of a later life of the same VM. */
  LaterLife = "later-life",
  /** The platform's VM list has been without the VM for a stated time. */
  Unlisted = "unlisted",
}

/** Evidence that a VM's life is over. */
export type LossEvidence =
  | {
    readonly kind: LossEvidenceKind.LaterLife;
    readonly vm: VmId;
    /** The later life; lives before it are over. */
    readonly incarnation: Incarnation;
  }
  | {
    readonly kind: LossEvidenceKind.Unlisted;
    readonly vm: VmId;
    /** The latest life that was known; it and the ones before are over. */
    readonly incarnation: Incarnation;
    /** How long the list has been read without the VM on it. */
    readonly unlistedFor: Millis;
    /** How long that must have been. */
    readonly required: Millis;
  };

/** Evidence that does not suffice, and what to do. */
export interface WeakEvidence {
  readonly message: string;
}

/** What was written off. */
export interface WriteOffResult {
  /** Tokens written off by this operation. */
  readonly tokens: Tokens;
  /** Tokens written off from the event in all. */
  readonly total: Tokens;
}

/** Returns the operation that writes a lost life's grants and loans off. */
export function createWriteOff(input: {
  readonly eventId: EventId;
  readonly evidence: LossEvidence;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): Either<WeakEvidence, RowOperation<WriteOffResult>> {
  const { evidence } = input;
  if (
    evidence.kind === LossEvidenceKind.Unlisted &&
    evidence.unlistedFor <= evidence.required
  ) {
    return Left({
      message:
        `VM ${evidence.vm} has been off the list for ${evidence.unlistedFor} ms, not yet more than ${evidence.required} ms. Wait, or show a later life of it.`,
    });
  }
  const key = formatBudgetKey(input.eventId);
  return Right({
    id: `write-off/${input.eventId}/${evidence.vm}/${evidence.incarnation}`,
    keys: [key],
    decide(rows) {
      const before = readBudgetRow(rows, input);
      const row = writeOffIncarnations(before, evidence, input.wallTime);
      const total = row.writtenOff ?? 0;
      const value: JsonValue = { ...row };
      return {
        writes: row === before ? [] : [{ key, value }],
        result: { tokens: total - (before.writtenOff ?? 0), total },
      };
    },
  });
}

/** Returns the row with the grants and loans of lives that are over written off. */
export function writeOffIncarnations(
  row: BudgetRow,
  evidence: LossEvidence,
  wallTime: WallTime,
): BudgetRow {
  const isLost = (holder: { vm: VmId; incarnation: Incarnation }) =>
    holder.vm === evidence.vm && isOver(holder.incarnation, evidence);
  const lost = Object.entries(row.grants).filter(([, each]) => isLost(each));
  const loans = Object.entries(row.loans ?? {});
  const lostLoans = loans.filter(([, each]) =>
    isLost(each) && each.writtenOff !== true
  );
  if (lost.length === 0 && lostLoans.length === 0) return row;
  const granted = lost.reduce((sum, [, each]) => sum + each.size, 0);
  const lent = lostLoans.reduce((sum, [, each]) => sum + each.tokens, 0);
  const entries = Object.fromEntries(
    lost.map(([id, each]) => [id, { ...each, writtenOffAt: wallTime }]),
  );
  return {
    ...row,
    // Loans that outlived their lender's grant are in `closed` already.
    closed: row.closed + granted,
    grants: Object.fromEntries(
      Object.entries(row.grants).filter(([, each]) => !isLost(each)),
    ),
    loans: Object.fromEntries(
      loans.map(([id, each]) => [
        id,
        isLost(each) ? { ...each, writtenOff: true } : each,
      ]),
    ),
    writtenOff: (row.writtenOff ?? 0) + granted + lent,
    writeOffs: filterNewest({ ...row.writeOffs, ...entries }, MAX_WRITE_OFFS),
  };
}

function isOver(incarnation: Incarnation, evidence: LossEvidence): boolean {
  if (evidence.kind === LossEvidenceKind.LaterLife) {
    return incarnation < evidence.incarnation;
  }
  return incarnation <= evidence.incarnation;
}
