/**
 * Everything a VM has to tell one budget, in one write of its row: grants to
 * close, loans to return, sizes to lower and a new grant to take. A grant
 * grows by taking a new one and closing the old ones in the same exchange.
 */
import type {
  EventId,
  JsonValue,
  RowOperation,
  Tokens,
  VmId,
} from "../../core/mod.ts";
import {
  computeBudgetLeft,
  countHolders,
  formatBudgetKey,
  listOtherHolders,
  readBudgetRow,
  sumOtherRates,
  sumOutstandingLoans,
} from "./budget_row.ts";
import {
  applyStandbyReturn,
  applyStandbyTake,
  type StandbyExchange,
} from "../standby/standby_changes.ts";
import {
  applyLimit,
  closeEntry,
  findEntry,
  type GrantClose,
  type GrantShrink,
  type GrantTake,
  type LoanReturn,
  type RateReport,
  recordRate,
  returnLoan,
  shrinkEntry,
  takeEntry,
} from "./row_changes.ts";

/** What a VM wants of one budget. */
export interface GrantExchange {
  readonly eventId: EventId;
  /** Unique over all VMs and lives, for logs. */
  readonly id: string;
  /** Limit of an event whose row does not exist yet. */
  readonly initialLimit: Tokens;
  /** Whether an existing row's limit rises to the initial one; it never falls. */
  readonly raisesLimit?: boolean;
  readonly closes?: readonly GrantClose[];
  readonly returns?: readonly LoanReturn[];
  readonly shrinks?: readonly GrantShrink[];
  /** Applied after these, so that it can have what they gave back. */
  readonly take?: GrantTake;
  readonly standby?: StandbyExchange;
  /** What the VM says of its drawing; absent where VMs don't tell. */
  readonly rate?: RateReport;
}

/** What became of an exchange. Its closes, returns and shrinks always hold. */
export interface GrantExchangeResult {
  /** Tokens granted; 0 when none were asked for or the least was not there. */
  readonly size: Tokens;
  /** Standby tokens granted. */
  readonly standbySize: Tokens;
  /** Tokens left to grant after this operation. */
  readonly budgetLeft: Tokens;
  readonly limit: Tokens;
  /** Tokens that are spent for good, or lost with a VM; loans may come back. */
  readonly closed: Tokens;
  /** VMs that hold grants after this operation. */
  readonly holders: number;
  /** Those of them other than the exchange's, the largest drawer first. */
  readonly otherHolders: readonly VmId[];
  /** Tokens a second that VMs other than the exchange's draw. */
  readonly othersRate: number;
}

/** Returns the operation that carries out an exchange. */
export function createGrantExchange(
  exchange: GrantExchange,
): RowOperation<GrantExchangeResult> {
  const key = formatBudgetKey(exchange.eventId);
  return {
    id: exchange.id,
    keys: [key],
    decide(rows) {
      const vm = exchange.rate?.vm ?? exchange.take?.holder.vm;
      const before = readBudgetRow(rows, exchange);
      let row = before;
      if (exchange.raisesLimit === true) {
        row = applyLimit(row, exchange.initialLimit);
      }
      row = applyStandbyReturn(row, exchange.standby ?? {});
      for (const close of exchange.closes ?? []) row = closeEntry(row, close);
      for (const loan of exchange.returns ?? []) row = returnLoan(row, loan);
      for (const each of exchange.shrinks ?? []) row = shrinkEntry(row, each);
      if (exchange.take !== undefined) row = takeEntry(row, exchange.take);
      row = applyStandbyTake(row, exchange.standby?.take);
      if (row !== before && exchange.rate !== undefined) {
        row = recordRate(row, exchange.rate);
      }
      const taken = findEntry(row, exchange.take?.grantId ?? "");
      const value: JsonValue = { ...row };
      return {
        writes: row === before ? [] : [{ key, value }],
        result: {
          size: taken?.size ?? 0,
          standbySize:
            findEntry(row, exchange.standby?.take?.grantId ?? "")?.size ?? 0,
          budgetLeft: computeBudgetLeft(row),
          limit: row.limit,
          closed: row.closed - sumOutstandingLoans(row),
          holders: countHolders(row),
          otherHolders: listOtherHolders(row, vm),
          othersRate: sumOtherRates(row, vm),
        },
      };
    },
  };
}
