/**
 * Rates at which an account's tokens are spent and reserved. Both are
 * exponentially weighted: the weight of an amount is 1 when it is recorded and
 * has decayed to 1/e after {@link RATE_WINDOW}.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../core/mod.ts";
import type { EventAccount } from "./account.ts";

/** Time constant of the exponential decay of the rates, in milliseconds. */
export const RATE_WINDOW: Millis = 30_000;

/** Weight of the newest reservation in the average size of reservations. */
const RESERVATION_WEIGHT = 1 / 16;

/** Rates of one account, in tokens per second. */
export interface AccountRates {
  /** Rate of spending. */
  readonly drawRate: number;
  /** Rate of reserving. */
  readonly demandRate: number;
}

/** Returns the rates after their decay since the last update. */
export function computeRates(
  account: EventAccount,
  now: MonotonicTime,
): AccountRates {
  const elapsed = Math.max(0, now - account.lastDraw);
  const decay = Math.exp(-elapsed / RATE_WINDOW);
  return {
    drawRate: account.drawRate * decay,
    demandRate: account.demandRate * decay,
  };
}

/**
 * Adds tokens that are spent or reserved now to the rates of an account, and
 * reserved ones also to the average size of its reservations.
 */
export function recordUsage(
  account: EventAccount,
  input: {
    readonly spent?: Tokens;
    readonly reserved?: Tokens;
    readonly now: MonotonicTime;
  },
): EventAccount {
  const rates = computeRates(account, input.now);
  const weight = MILLIS_PER_SECOND / RATE_WINDOW;
  return {
    ...account,
    drawRate: rates.drawRate + (input.spent ?? 0) * weight,
    demandRate: rates.demandRate + (input.reserved ?? 0) * weight,
    usualHold: computeUsualHold(account, input.reserved),
    lastDraw: Math.max(account.lastDraw, input.now),
  };
}

function computeUsualHold(
  account: EventAccount,
  reserved: Tokens | undefined,
): Tokens {
  const { usualHold } = account;
  if (reserved === undefined) return usualHold;
  if (usualHold === 0) return reserved;
  return usualHold + (reserved - usualHold) * RESERVATION_WEIGHT;
}
