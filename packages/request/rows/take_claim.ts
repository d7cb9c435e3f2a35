/** Claims a call that may not be repeated, before its dispatch. */
import type {
  BodyDigest,
  CustomerId,
  Incarnation,
  JsonValue,
  RequestKey,
  RowOperation,
  RowView,
  VmId,
  WallTime,
} from "../../core/mod.ts";
import {
  type ClaimRow,
  formatClaimKey,
  type KeptAnswer,
  parseClaimRow,
} from "./claim_row.ts";

/** What a claim attempt found. */
export enum ClaimState {
  /** The claim is this attempt's: dispatch at most once. */
  Taken = "taken",
  /** The call ran; its answer is kept. */
  Ran = "ran",
  /** Another attempt holds the claim. */
  HeldByOther = "held-by-other",
  /** The key was used with another body. */
  OtherBody = "other-body",
}

/** The answer to a claim attempt. */
export interface TakeClaimResult {
  readonly state: ClaimState;
  readonly answer?: KeptAnswer;
  /** Who holds it, when another attempt does. */
  readonly holder?: { readonly vm: VmId; readonly incarnation: Incarnation };
}

/** Who claims what. */
export interface ClaimInput {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly digest: BodyDigest;
  readonly vm: VmId;
  /** The claiming attempt: the VM's incarnation and a number within it. */
  readonly incarnation: Incarnation;
  readonly wallTime: WallTime;
}

/** Returns the operation that takes a claim. */
export function createTakeClaim(
  input: ClaimInput,
): RowOperation<TakeClaimResult> {
  const key = formatClaimKey(input.customer, input.requestKey);
  return {
    id: `${key}/${input.vm}/${input.incarnation}`,
    keys: [key],
    decide(rows) {
      const row = readClaimRow(rows, key);
      if (row !== undefined && row.digest !== input.digest) {
        return { writes: [], result: { state: ClaimState.OtherBody } };
      }
      if (row === undefined || row.state === "not-run") {
        const value: JsonValue = {
          digest: input.digest,
          vm: input.vm,
          incarnation: input.incarnation,
          state: "open",
          claimedAt: input.wallTime,
        };
        return {
          writes: [{ key, value }],
          result: { state: ClaimState.Taken },
        };
      }
      return { writes: [], result: describeHeldClaim(row, input) };
    },
  };
}

/** Returns the claim row among the rows read. */
export function readClaimRow(
  rows: RowView,
  key: string,
): ClaimRow | undefined {
  const row = rows.get(key);
  if (row === undefined) return undefined;
  return parseClaimRow(row.value).caseOf({
    Left: (reason) => {
      throw new Error(
        `Row ${key} is damaged: ${reason}. Restore it from the table's backup.`,
      );
    },
    Right: (value) => value,
  });
}

function describeHeldClaim(row: ClaimRow, input: ClaimInput): TakeClaimResult {
  if (row.state === "ran" && row.answer !== undefined) {
    return { state: ClaimState.Ran, answer: row.answer };
  }
  const own = row.vm === input.vm && row.incarnation === input.incarnation;
  if (own) return { state: ClaimState.Taken };
  const holder = { vm: row.vm, incarnation: row.incarnation };
  return { state: ClaimState.HeldByOther, holder };
}
