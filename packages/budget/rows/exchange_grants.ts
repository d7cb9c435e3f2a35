/**
 * Exchanges grants with a budget in a single write of its row: closes grants,
 * returns loans, shrinks grants and takes a new grant. To hold more tokens, a
 * VM takes a new grant and closes the old ones in the same exchange.
 */
import type {
  EventId,
  JsonValue,
  RowOperation,
  Tokens,
  VmId,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  computeBudgetLeft,
  countHolders,
  formatBudgetKey,
  listOtherHolders,
  listOtherTakes,
  readBudgetRow,
  sumOtherRates,
  sumOutstandingLoans,
  sumSpentByOthers,
} from "./budget_row.ts";
import {
  applyStandbyReturn,
  applyStandbyTake,
  type StandbyExchange,
} from "../standby/standby_changes.ts";
import {
  addEntry,
  applyLimit,
  closeEntry,
  findEntry,
  findTaken,
  type GrantClose,
  type GrantShrink,
  type GrantTake,
  type LoanReturn,
  type RateReport,
  recordRate,
  recordSpent,
  returnLoan,
  shrinkEntry,
  type SpentReport,
} from "./row_changes.ts";

/** The changes that a VM makes to a budget row in one write. */
export interface GrantExchange {
  readonly eventId: EventId;
  /** Unique over all VMs and incarnations, for logs. */
  readonly id: string;
  /** Limit of an event whose row does not exist yet. */
  readonly initialLimit: Tokens;
  /**
   * Whether the limit of an existing row is raised to `initialLimit` when it is
   * lower. The limit is never lowered.
   */
  readonly raisesLimit?: boolean;
  readonly closes?: readonly GrantClose[];
  readonly returns?: readonly LoanReturn[];
  readonly shrinks?: readonly GrantShrink[];
  /**
   * Applied after the changes above, so that it can use the tokens they return.
   */
  readonly take?: GrantTake;
  /** Changes to the VM's standby grants. */
  readonly standby?: StandbyExchange;
  /**
   * The VM's spending rate, which is stored only if the row changes otherwise;
   * absent where VMs don't report it.
   */
  readonly rate?: RateReport;
  /**
   * What the VM has spent of its open grants, which is stored only if the row
   * changes otherwise; absent where VMs don't report it.
   */
  readonly spent?: readonly SpentReport[];
}

/** Whether an exchange may change the row as it is. */
export interface ExchangeLimits {
  /** Whether the exchange must wait and be run again; never if absent. */
  isDeferred?(row: BudgetRow): boolean;
}

/** Outcome of an exchange. Closes, returns and shrinks always take effect. */
export interface GrantExchangeResult {
  /**
   * Tokens granted; 0 when none were requested or fewer than `least` were left.
   */
  readonly size: Tokens;
  /** The open grant that they were added to; absent for a new grant. */
  readonly grownGrantId?: string;
  /** True if nothing was changed and the exchange must be run again later. */
  readonly isDeferred?: boolean;
  /** Standby tokens granted. */
  readonly standbySize: Tokens;
  /** Tokens left to grant after this operation. */
  readonly budgetLeft: Tokens;
  readonly limit: Tokens;
  /**
   * Tokens spent or lost with a VM, without those of outstanding loans. Includes
   * what other VMs have reported as spent of their open grants.
   */
  readonly closed: Tokens;
  /** Number of VMs that hold grants after this operation. */
  readonly holders: number;
  /**
   * The holders other than the VM of this exchange, the highest spending rate
   * first.
   */
  readonly otherHolders: readonly VmId[];
  /** Ids of the exchanges in which the other holders last took tokens. */
  readonly otherTakes: readonly string[];
  /**
   * Total spending rate that the other VMs last reported, in tokens per second.
   */
  readonly othersRate: number;
}

/** Whether the row shows the take of an exchange, so that it took effect. */
function hasTaken(row: BudgetRow, exchange: GrantExchange): boolean {
  return exchange.take !== undefined &&
    findTaken(row, exchange.take) !== undefined;
}

/** Applies all changes of an exchange to a row that doesn't have them. */
function applyChanges(before: BudgetRow, exchange: GrantExchange): BudgetRow {
  let row = before;
  if (exchange.raisesLimit === true) {
    row = applyLimit(row, exchange.initialLimit);
  }
  row = applyStandbyReturn(row, exchange.standby ?? {});
  for (const close of exchange.closes ?? []) row = closeEntry(row, close);
  for (const loan of exchange.returns ?? []) row = returnLoan(row, loan);
  for (const each of exchange.shrinks ?? []) row = shrinkEntry(row, each);
  if (exchange.take !== undefined) row = addEntry(row, exchange.take);
  return applyStandbyTake(row, exchange.standby?.take);
}

/** Whether an exchange may return tokens to the budget. */
export function isReturning(exchange: GrantExchange): boolean {
  const { closes, returns, shrinks, standby } = exchange;
  return [closes, returns, shrinks, standby?.drops]
    .some((each) => each !== undefined && each.length > 0);
}

/** Returns the row operation that carries out an exchange. */
export function createGrantExchange(
  exchange: GrantExchange,
  limits: ExchangeLimits = {},
): RowOperation<GrantExchangeResult> {
  const key = formatBudgetKey(exchange.eventId);
  return {
    id: exchange.id,
    keys: [key],
    decide(rows) {
      const vm = exchange.rate?.vm ?? exchange.take?.holder.vm;
      const before = readBudgetRow(rows, exchange);
      const isDeferred = limits.isDeferred?.(before) === true;
      // All changes are made in one write. A shrink must not be repeated after
      // tokens were added to the same grant.
      let row = isDeferred || hasTaken(before, exchange)
        ? before
        : applyChanges(before, exchange);
      if (row !== before && exchange.rate !== undefined) {
        row = recordRate(row, exchange.rate);
      }
      if (row !== before) row = recordSpent(row, exchange.spent ?? []);
      const taken = exchange.take === undefined
        ? undefined
        : findTaken(row, exchange.take);
      const value: JsonValue = { ...row };
      return {
        writes: row === before ? [] : [{ key, value }],
        result: {
          size: taken?.tokens ?? 0,
          ...(isDeferred ? { isDeferred } : {}),
          ...(taken === undefined || taken.grantId === exchange.take?.grantId
            ? {}
            : { grownGrantId: taken.grantId }),
          standbySize:
            findEntry(row, exchange.standby?.take?.grantId ?? "")?.size ?? 0,
          budgetLeft: computeBudgetLeft(row),
          limit: row.limit,
          closed: row.closed - sumOutstandingLoans(row) +
            sumSpentByOthers(row, vm),
          holders: countHolders(row),
          otherHolders: listOtherHolders(row, vm),
          otherTakes: listOtherTakes(row, vm),
          othersRate: sumOtherRates(row, vm),
        },
      };
    },
  };
}
