/**
 * Unlocks standby tokens while the store is unavailable, and tracks which of
 * them the store doesn't know to be in use yet. The unlocked part grows with
 * the time since this VM last sent a presence update. From the last update in
 * the store, a later incarnation can thus tell what this one can't have used.
 */
import {
  type Accounts,
  addOpenTokens,
  computeOpeningTime,
  computeOpenPart,
  GRANT_TERM,
  type GrantExchange,
  type GrantExchangeResult,
  sumSizes,
} from "../../../budget/mod.ts";
import type { CustomerId, Millis, Tokens } from "../../../core/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { type Holding, type OpeningGrant, sumOpen } from "./holding.ts";

/** Least retry delay for a caller: a round trip with a margin. */
const LEAST_RETURN_TIME: Millis = 100;

/** What the unlocking of standby tokens depends on. */
export interface StandbyOptions {
  readonly accounts: Accounts;
  /** Returns the time since this VM last sent a presence update. */
  computeSilence(): Millis;
  /** Whether the store is unavailable: its latest answer is overdue. */
  isTableAway(): boolean;
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
  open(holding: Holding): boolean {
    const known = [
      ...holding.opening,
      ...holding.standby.map((each) => ({ ...each, open: 0 })),
    ];
    if (known.length === 0 || !this.#options.isTableAway()) return false;
    const silence = this.#options.computeSilence();
    const part = computeOpenPart(silence);
    const before = sumOpen(known);
    const opening = known
      .map((each) => ({
        ...each,
        open: Math.max(each.open, Math.floor(each.size * part)),
      }))
      .filter((each) => each.open > 0);
    if (sumOpen(opening) <= before) return false;
    holding.opening = opening;
    const ids = new Set(opening.map((each) => each.grantId));
    holding.standby = holding.standby.filter((each) => !ids.has(each.grantId));
    this.#addTokens(holding.customer, opening);
    this.#context.log.info(LogEvent.StandbyUsed, {
      customer: holding.customer,
      grants: opening.length,
      opened: sumOpen(opening) - before,
      size: sumSizes(opening),
      away_ms: Math.round(silence),
    });
    return true;
  }

  /** Unlocks grants in full once the store counts them as in use in full. */
  openWhole(holding: Holding, inUse: readonly string[]): void {
    // Called for every customer after each presence update; most have none.
    if (holding.opening.length === 0) return;
    holding.opening = holding.opening.map((each) =>
      inUse.includes(each.grantId) ? { ...each, open: each.size } : each
    );
    this.#addTokens(holding.customer, holding.opening);
  }

  /**
   * Removes the grants that an exchange drops, shrinks or closes, before it is
   * sent.
   */
  settleExchange(holding: Holding, exchange: GrantExchange): void {
    const { drops = [] } = exchange.standby ?? {};
    // Once the exchange is sent, the store may count a dropped grant as free.
    holding.standby = holding.standby
      .filter((each) => !drops.includes(each.grantId));
    const { shrinks = [], closes = [] } = exchange;
    const settled = new Set(
      [...shrinks, ...closes].map((each) => each.grantId),
    );
    const isSettled = (each: OpeningGrant) => settled.has(each.grantId);
    // A grant that the exchange shrinks or closes must not grow any more.
    holding.settling = holding.opening.filter(isSettled)
      .map((each) => each.grantId);
    holding.opening = holding.opening.filter((each) => !isSettled(each));
  }

  /** Applies the store's answer to an exchange. */
  receiveExchange(
    holding: Holding,
    input: {
      readonly exchange: GrantExchange;
      readonly result: GrantExchangeResult;
    },
  ): void {
    const { used = [], take } = input.exchange.standby ?? {};
    holding.settling = [];
    this.openWhole(holding, used);
    holding.opening = holding.opening
      .filter((each) => !used.includes(each.grantId));
    const size = input.result.standbySize;
    if (take === undefined || size === 0) return;
    holding.standby = [...holding.standby, { grantId: take.grantId, size }];
  }

  /**
   * Returns the time until that many more standby tokens are unlocked, or
   * undefined if there aren't enough of them.
   */
  computeReturnTime(holding: Holding, tokens: Tokens): Millis | undefined {
    const closed = sumSizes(holding.standby) + sumSizes(holding.opening) -
      sumOpen(holding.opening);
    if (closed < tokens) return undefined;
    const silence = this.#options.computeSilence();
    const part = computeOpenPart(silence) + tokens / closed;
    return Math.max(LEAST_RETURN_TIME, computeOpeningTime(part) - silence);
  }

  #addTokens(customer: CustomerId, opening: readonly OpeningGrant[]): void {
    const deadline = this.#context.clock.readMonotonic() + GRANT_TERM;
    this.#options.accounts.change(
      customer,
      (account) =>
        opening.reduce(
          (changed, { grantId, open }) =>
            addOpenTokens(changed, { grantId, size: open, deadline }),
          account,
        ),
    );
  }
}

/** Returns the ids of grants in use that the row still has on standby. */
export function listInUse(holding: Holding): string[] {
  const { opening, settling } = holding;
  return [...opening.map((each) => each.grantId), ...settling];
}
