/**
 * Rates of drawing and reserving, exponentially weighted: an amount counts in
 * full when it happens and for 1/e of it after {@link RATE_WINDOW}.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type Tokens,
} from "../core/mod.ts";
import type { EventAccount } from "./account.ts";

/** Time constant of the rates, in milliseconds. */
export const RATE_WINDOW: Millis = 30_000;

/** Weight of the newest reservation in the usual size. */
const RESERVATION_WEIGHT = 1 / 16;

/** Rates of one account, in tokens per second. */
export interface AccountRates {
  readonly drawRate: number;
  readonly demandRate: number;
}

/** Returns the rates as they have decayed by now. */
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

/** Adds tokens that were spent or reserved now to the rates. */
export function recordDraw(
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
