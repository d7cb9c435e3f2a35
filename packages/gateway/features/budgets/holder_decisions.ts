/**
 * Keeps, for each customer, whether this VM holds its tokens ahead of need, by
 * the spending rates that it measures, reads in the row and hears from lenders.
 */
import { decideHolder } from "../../../budget/mod.ts";
import type { CustomerId, MonotonicTime, Tokens } from "../../../core/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { BudgetState } from "./budget_state.ts";
import { TRAFFIC_WARMUP } from "./grant_exchanges.ts";

/** What a decision needs to know besides the budget. */
export interface HolderOptions {
  /** Whether this VM is a home VM of a customer. */
  readonly isHome: (customer: CustomerId) => boolean;
  /** Returns the usual size of a request; 0 before the first. */
  readonly readUsualRequest: () => Tokens;
  /** Returns when this VM received its first request; undefined before it. */
  readonly readFirstRequestTime: () => MonotonicTime | undefined;
}

/** Decides again and again whether this VM is a holder. */
export class HolderDecisions {
  readonly #context: GatewayContext;
  readonly #options: HolderOptions;

  constructor(context: GatewayContext, options: HolderOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Returns the spending rate of all VMs, as far as known. */
  computeTotalRate(budget: BudgetState): number {
    return Math.round(this.#computeRate(budget) + budget.othersRate);
  }

  /** Decides whether this VM holds tokens ahead of need, and records it. */
  update(budget: BudgetState): boolean {
    const { clock, settings } = this.#context;
    const { readUsualRequest, readFirstRequestTime } = this.#options;
    const now = clock.readMonotonic();
    const rate = this.#computeRate(budget);
    const totalRate = findTotalRate(budget, rate);
    const isHome = this.#options.isHome(budget.customer);
    const isHolder = decideHolder({
      isHome,
      isHolder: budget.isHolder,
      rate,
      totalRate,
      hasTraffic: now - (readFirstRequestTime() ?? now) > TRAFFIC_WARMUP,
      outageCoverage: settings.budgets.offlineMillis,
      usualRequest: readUsualRequest(),
    });
    if (isHolder !== budget.isHolder && !isHome) {
      this.#context.log.info(LogEvent.HolderChanged, {
        customer: budget.customer,
        holder: isHolder,
        rate: Math.round(rate),
        total_rate: Math.round(totalRate ?? 0),
      });
    }
    budget.isHolder = isHolder;
    // A holder that borrows no more reads the rates in the row.
    if (isHolder && budget.budgetLeft !== undefined) {
      budget.lendersRate = undefined;
    }
    return isHolder;
  }

  #computeRate({ meter }: BudgetState): number {
    return meter?.computeRate(this.#context.clock.readMonotonic()) ?? 0;
  }
}

/**
 * Returns the spending rate of all VMs by the row or by lenders: the higher of
 * both, since either may be out of date.
 */
function findTotalRate(
  { budgetLeft, othersRate, lendersRate }: BudgetState,
  rate: number,
): number | undefined {
  const hasReadRow = budgetLeft !== undefined;
  if (!hasReadRow && lendersRate === undefined) return undefined;
  return Math.max(hasReadRow ? rate + othersRate : 0, lendersRate ?? 0);
}
