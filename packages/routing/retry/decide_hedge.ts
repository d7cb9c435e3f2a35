/** Decides whether a second attempt is started beside a slow one. */
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
const LEAST_HEDGE_DELAY: Millis = 5;

/** A plain call whose attempt has brought no byte yet. */
export interface SlowCall {
  readonly service: ServiceId;
  readonly serviceType: ServiceType;
  readonly repeatability: Repeatability;
  readonly startedAt: MonotonicTime;
  readonly hedged: boolean;
}

/**
 * Returns when to hedge a call; undefined if it is not to be hedged. Only plain
 * calls that may be repeated are: an engine's first token is late because it is
 * busy, and a second copy of the prompt makes it busier.
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
  if (!budgets.hasRoom(call.service, { extra, now })) return undefined;
  const usual = times.compute(call.service, HEDGE_PERCENTILE, now);
  if (usual === undefined) return undefined;
  return call.startedAt + Math.max(LEAST_HEDGE_DELAY, usual);
}
