/**
 * Writes off the grants and loans of lost incarnations of a VM.
 *
 * A write-off makes no tokens available: the whole grant moves to `closed` and
 * counts as written off. The budget therefore stays safe when the evidence was
 * wrong and the holder was only paused. When such a holder resumes and closes
 * its grant, the unspent tokens return to the budget, once, provided that the
 * row still has the entry of the write-off.
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

/** Kinds of evidence that an incarnation of a VM has ended. */
export enum LossEvidenceKind {
  /** The store holds a heartbeat of a later incarnation of the same VM. */
  LaterIncarnation = "later-life",
  /**
   * The VM has been missing from the platform's VM list for a required time.
   */
  Unlisted = "unlisted",
}

/** Evidence that an incarnation of a VM has ended. */
export type LossEvidence =
  | {
    readonly kind: LossEvidenceKind.LaterIncarnation;
    readonly vm: VmId;
    /** The later incarnation; all earlier ones have ended. */
    readonly incarnation: Incarnation;
  }
  | {
    readonly kind: LossEvidenceKind.Unlisted;
    readonly vm: VmId;
    /** The latest known incarnation; it and all earlier ones have ended. */
    readonly incarnation: Incarnation;
    /** How long the VM list has been read without the VM on it. */
    readonly unlistedFor: Millis;
    /** Time that `unlistedFor` must exceed. */
    readonly required: Millis;
  };

/** The refusal of a write-off whose evidence does not suffice. */
export interface InsufficientEvidence {
  /** Says what is missing and what the operator can do. */
  readonly message: string;
}

/** Outcome of a write-off. */
export interface WriteOffResult {
  /** Tokens written off by this operation. */
  readonly tokens: Tokens;
  /** Total of the event's tokens that are written off. */
  readonly total: Tokens;
}

/**
 * Returns the row operation that writes off the grants and loans of lost
 * incarnations.
 */
export function createWriteOff(input: {
  readonly eventId: EventId;
  readonly evidence: LossEvidence;
  readonly initialLimit: Tokens;
  readonly wallTime: WallTime;
}): Either<InsufficientEvidence, RowOperation<WriteOffResult>> {
  const { evidence } = input;
  if (
    evidence.kind === LossEvidenceKind.Unlisted &&
    evidence.unlistedFor <= evidence.required
  ) {
    return Left({
      message:
        `VM ${evidence.vm} has been missing from the VM list for ${evidence.unlistedFor} ms, not yet for more than ${evidence.required} ms. Wait, or provide evidence of a later incarnation.`,
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

/**
 * Returns the row with the grants and loans of ended incarnations written off.
 */
export function writeOffIncarnations(
  row: BudgetRow,
  evidence: LossEvidence,
  wallTime: WallTime,
): BudgetRow {
  const isLost = (holder: { vm: VmId; incarnation: Incarnation }) =>
    holder.vm === evidence.vm && hasEnded(holder.incarnation, evidence);
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
    // `closed` already includes loans whose lender's grant was closed.
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

function hasEnded(incarnation: Incarnation, evidence: LossEvidence): boolean {
  if (evidence.kind === LossEvidenceKind.LaterIncarnation) {
    return incarnation < evidence.incarnation;
  }
  return incarnation <= evidence.incarnation;
}
