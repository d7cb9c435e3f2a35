/**
 * Unlocks standby tokens while the store is unavailable, and tracks which of
 * them the store doesn't know to be in use yet. The unlocked part grows with
 * the time since this VM last sent a presence update. From the last update in
 * the store, a later incarnation can thus compute which tokens this one can't
 * have used.
 */
import {
  type Accounts,
  addUnlockedTokens,
  computeUnlockedFraction,
  computeUnlockTime,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  sumStandbySizes,
} from "../../../budget/mod.ts";
import type { CustomerId, Millis, Tokens } from "../../../core/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import {
  type BudgetState,
  sumUnlockedTokens,
  type UnlockedGrant,
} from "./budget_state.ts";

/** Minimum retry delay for a caller: a round trip with a margin. */
const MIN_RETRY_AFTER: Millis = 100;

/** What the unlocking of standby tokens depends on. */
export interface StandbyOptions {
  readonly accounts: Accounts;
  /** Returns the time since this VM last sent a presence update. */
  computePresenceAge(): Millis;
  /** Whether the store is unavailable: its latest answer is overdue. */
  isStoreDown(): boolean;
}

/** Manages the standby grants of all customers. */
export class StandbyTokens {
  readonly #context: GatewayContext;
  readonly #options: StandbyOptions;

  constructor(context: GatewayContext, options: StandbyOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Unlocks as many standby tokens as the time since the last presence update
   * allows; returns whether that added any. It adds none while the store is
   * available: the VM can take more tokens there, while unlocked tokens are
   * lost if the process is killed.
   */
  unlock(budget: BudgetState): boolean {
    const grants = [
      ...budget.unlockedGrants,
      ...budget.standby.map((each) => ({ ...each, unlockedTokens: 0 })),
    ];
    if (grants.length === 0 || !this.#options.isStoreDown()) return false;
    const presenceAge = this.#options.computePresenceAge();
    const fraction = computeUnlockedFraction(presenceAge);
    const before = sumUnlockedTokens(grants);
    const unlocked = grants
      .map((each) => ({
        ...each,
        unlockedTokens: Math.max(
          each.unlockedTokens,
          Math.floor(each.size * fraction),
        ),
      }))
      .filter((each) => each.unlockedTokens > 0);
    if (sumUnlockedTokens(unlocked) <= before) return false;
    budget.unlockedGrants = unlocked;
    const ids = new Set(unlocked.map((each) => each.grantId));
    budget.standby = budget.standby.filter((each) => !ids.has(each.grantId));
    this.#creditAccount(budget.customer, unlocked);
    this.#context.log.info(LogEvent.StandbyUsed, {
      customer: budget.customer,
      grants: unlocked.length,
      opened: sumUnlockedTokens(unlocked) - before,
      size: sumStandbySizes(unlocked),
      away_ms: Math.round(presenceAge),
    });
    return true;
  }

  /** Unlocks grants in full once the store counts them as in use in full. */
  unlockFully(budget: BudgetState, inUse: readonly string[]): void {
    // Skips the update of the account: this is called for every customer after
    // each presence update, and most have no unlocked grants.
    if (budget.unlockedGrants.length === 0) return;
    budget.unlockedGrants = budget.unlockedGrants.map((each) =>
      inUse.includes(each.grantId)
        ? { ...each, unlockedTokens: each.size }
        : each
    );
    this.#creditAccount(budget.customer, budget.unlockedGrants);
  }

  /**
   * Removes the grants that an exchange drops, shrinks or closes, before it is
   * sent.
   */
  prepareExchange(budget: BudgetState, exchange: GrantExchange): void {
    const { drops = [] } = exchange.standby ?? {};
    // Once the exchange is sent, the store may count a dropped grant as free.
    budget.standby = budget.standby
      .filter((each) => !drops.includes(each.grantId));
    const { shrinks = [], closes = [] } = exchange;
    const frozen = new Set(
      [...shrinks, ...closes].map((each) => each.grantId),
    );
    const isFrozen = (each: UnlockedGrant) => frozen.has(each.grantId);
    // A grant that the exchange shrinks or closes must not grow any more.
    budget.frozenGrantIds = budget.unlockedGrants.filter(isFrozen)
      .map((each) => each.grantId);
    budget.unlockedGrants = budget.unlockedGrants.filter((each) =>
      !isFrozen(each)
    );
  }

  /** Applies the store's answer to an exchange. */
  receiveExchange(
    budget: BudgetState,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
    },
  ): void {
    const { used = [], take } = input.exchange.standby ?? {};
    budget.frozenGrantIds = [];
    this.unlockFully(budget, used);
    budget.unlockedGrants = budget.unlockedGrants
      .filter((each) => !used.includes(each.grantId));
    const size = input.result.standbySize;
    if (take === undefined || size === 0) return;
    budget.standby = [...budget.standby, { grantId: take.grantId, size }];
  }

  /**
   * Returns the time until that many more standby tokens are unlocked, or
   * undefined if there aren't enough of them.
   */
  computeRetryAfter(budget: BudgetState, tokens: Tokens): Millis | undefined {
    const locked = sumStandbySizes(budget.standby) +
      sumStandbySizes(budget.unlockedGrants) -
      sumUnlockedTokens(budget.unlockedGrants);
    if (locked < tokens) return undefined;
    const presenceAge = this.#options.computePresenceAge();
    const fraction = computeUnlockedFraction(presenceAge) + tokens / locked;
    return Math.max(MIN_RETRY_AFTER, computeUnlockTime(fraction) - presenceAge);
  }

  #creditAccount(
    customer: CustomerId,
    unlocked: readonly UnlockedGrant[],
  ): void {
    const deadline = this.#context.clock.readMonotonic() + GRANT_TERM;
    this.#options.accounts.change(
      customer,
      (account) =>
        unlocked.reduce(
          (changed, { grantId, unlockedTokens }) =>
            addUnlockedTokens(changed, {
              grantId,
              size: unlockedTokens,
              deadline,
            }),
          account,
        ),
    );
  }
}

/** Returns the ids of grants in use that the row still has on standby. */
export function listInUse(budget: BudgetState): string[] {
  const { unlockedGrants: unlocked, frozenGrantIds: frozenIds } = budget;
  return [...unlocked.map((each) => each.grantId), ...frozenIds];
}
