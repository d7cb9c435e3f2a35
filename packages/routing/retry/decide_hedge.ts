/** Decides when to hedge a slow attempt: to start a second one in parallel. */
import {
  type Millis,
  type MonotonicTime,
  Repeatability,
  type ServiceId,
  ServiceType,
} from "../../core/mod.ts";
import type { FirstByteTimes } from "./first_byte_times.ts";
import { ExtraAttempt, type RetryBudgets } from "./retry_budget.ts";

const HEDGE_PERCENTILE = 95;
const MIN_HEDGE_DELAY: Millis = 5;

/** A call whose first attempt has returned no byte yet. */
export interface SlowCall {
  readonly service: ServiceId;
  readonly serviceType: ServiceType;
  readonly repeatability: Repeatability;
  readonly startedAt: MonotonicTime;
  /** Whether a hedge was already started. */
  readonly hedged: boolean;
}

/**
 * Returns the time at which to hedge a call, or undefined if it must not be
 * hedged. Only repeatable calls of plain services are hedged: the first token of
 * a model engine is late because the engine is busy, and a second copy of the
 * prompt would add to its load.
 */
export function decideHedge(
  call: SlowCall,
  options: {
    readonly budgets: RetryBudgets;
    readonly times: FirstByteTimes;
    readonly now: MonotonicTime;
  },
): MonotonicTime | undefined {
  if (call.hedged || call.serviceType !== ServiceType.PlainService) {
    return undefined;
  }
  if (call.repeatability !== Repeatability.Repeatable) return undefined;
  const { budgets, times, now } = options;
  const extra = ExtraAttempt.Hedge;
  if (!budgets.covers(call.service, { extra, now })) return undefined;
  const delay = times.compute(call.service, HEDGE_PERCENTILE, now);
  if (delay === undefined) return undefined;
  return call.startedAt + Math.max(MIN_HEDGE_DELAY, delay);
}
