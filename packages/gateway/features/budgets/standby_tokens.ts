/**
 * Opens standby tokens while the table is away, no further than the silence of
 * this VM allows, and keeps account of what the table doesn't know of yet.
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
import { type Holding, type OpeningGrant, sumOpen } from "./holding.ts";

/** Least time to come back in: a round trip and some margin. */
const LEAST_RETURN_TIME: Millis = 100;

/** What opening depends on. */
export interface StandbyOptions {
  readonly accounts: Accounts;
  /** Returns for how long this VM has sent no word to the table. */
  computeSilence(): Millis;
  /** Whether the table has not answered for longer than an answer takes. */
  isTableAway(): boolean;
}

/** Standby tokens of all customers. */
export class StandbyTokens {
  readonly #context: GatewayContext;
  readonly #options: StandbyOptions;

  constructor(context: GatewayContext, options: StandbyOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Opens as much as the time without the table allows; returns whether there
   * are more tokens now. A table that answers is asked instead: a kill loses
   * what is in use.
   */
  open(holding: Holding): boolean {
    const known = [
      ...holding.opening,
      ...holding.standby.map((each) => ({ ...each, open: 0 })),
    ];
    if (known.length === 0 || !this.#options.isTableAway()) return false;
    const silence = this.#options.computeSilence();
    const part = computeUnlockedFraction(silence);
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
      size: sumStandbySizes(opening),
      away_ms: Math.round(silence),
    });
    return true;
  }

  /** Opens grants whole that the table counts as in use whole. */
  openWhole(holding: Holding, inUse: readonly string[]): void {
    // Called for every customer with each word: most have nothing to open.
    if (holding.opening.length === 0) return;
    holding.opening = holding.opening.map((each) =>
      inUse.includes(each.grantId) ? { ...each, open: each.size } : each
    );
    this.#addTokens(holding.customer, holding.opening);
  }

  /** Takes back what an exchange that is about to be sent gives away. */
  settleExchange(holding: Holding, exchange: GrantExchange): void {
    const { drops = [] } = exchange.standby ?? {};
    // From here on the table may count a dropped standby grant as free.
    holding.standby = holding.standby
      .filter((each) => !drops.includes(each.grantId));
    const { shrinks = [], closes = [] } = exchange;
    const settled = new Set(
      [...shrinks, ...closes].map((each) => each.grantId),
    );
    const isSettled = (each: OpeningGrant) => settled.has(each.grantId);
    // What an exchange lowers or closes must not grow after it was planned.
    holding.settling = holding.opening.filter(isSettled)
      .map((each) => each.grantId);
    holding.opening = holding.opening.filter((each) => !isSettled(each));
  }

  /** Takes over what an exchange that the table has answered told and took. */
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

  /** Returns when so many more tokens will be open; undefined for never. */
  computeReturnTime(holding: Holding, tokens: Tokens): Millis | undefined {
    const closed = sumStandbySizes(holding.standby) +
      sumStandbySizes(holding.opening) -
      sumOpen(holding.opening);
    if (closed < tokens) return undefined;
    const silence = this.#options.computeSilence();
    const part = computeUnlockedFraction(silence) + tokens / closed;
    return Math.max(LEAST_RETURN_TIME, computeUnlockTime(part) - silence);
  }

  #addTokens(customer: CustomerId, opening: readonly OpeningGrant[]): void {
    const deadline = this.#context.clock.readMonotonic() + GRANT_TERM;
    this.#options.accounts.change(
      customer,
      (account) =>
        opening.reduce(
          (changed, { grantId, open }) =>
            addUnlockedTokens(changed, { grantId, size: open, deadline }),
          account,
        ),
    );
  }
}

/** Returns the standby grants in use whose rows don't say so, by id. */
export function listInUse(holding: Holding): string[] {
  const { opening, settling } = holding;
  return [...opening.map((each) => each.grantId), ...settling];
}
