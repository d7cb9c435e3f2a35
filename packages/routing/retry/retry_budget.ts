/**
 * Limits the retries of each service. First attempts earn a fraction of a retry
 * each, so that retries do not amplify a brown-out. In addition, every service
 * earns one retry every few seconds, so that a service with little traffic can
 * retry after a failure. A retry that the budget does not cover yet is delayed
 * until it does, and is not dropped.
 *
 * Bound: in T seconds with F first attempts, one VM makes at most
 * `ratio * F + T / 5 + 10` retries and hedges for a service.
 */
import type { Millis, MonotonicTime, ServiceId } from "../../core/mod.ts";

/** Default maximum of unused retries that a service can accumulate. */
const DEFAULT_MAX_SAVED = 10;

/** Retries that a service starts with. */
const INITIAL_SAVED = 2;

/** Time in which a service earns one retry regardless of its traffic. */
const EARN_INTERVAL: Millis = 5_000;

/** Delay before a retry that the budget did not cover is decided again. */
const RECHECK_DELAY: Millis = 250;

/** Numbers of attempts of one service, by why they were started. */
export interface RetryCounts {
  readonly first: number;
  readonly retries: number;
  readonly replacements: number;
  readonly hedges: number;
}

/** Why an attempt beyond the first is started. */
export enum ExtraAttempt {
  /** After a failure where the target may still be working on the request. */
  Retry = "retry",
  /** After the work was lost with its target or path; costs no budget. */
  Replacement = "replacement",
  /** In parallel to a slow attempt. */
  Hedge = "hedge",
}

interface ServiceBudget {
  /** Unused retries; fractions accumulate, and only whole ones can be used. */
  saved: number;
  earnedAt: MonotonicTime | undefined;
  counts: RetryCounts;
}

/** The retry budgets of all services on one VM. */
export class RetryBudgets {
  readonly #services = new Map<ServiceId, ServiceBudget>();
  #maxSaved = DEFAULT_MAX_SAVED;

  /** Sets the maximum of unused retries that a service can accumulate. */
  changeMaxSaved(max: number): void {
    this.#maxSaved = max;
  }

  /** Counts a first attempt, which earns `ratio` of a retry. */
  recordFirstAttempt(service: ServiceId, ratio: number): void {
    const budget = this.#readService(service);
    budget.saved = Math.min(this.#maxSaved, budget.saved + ratio);
    budget.counts = { ...budget.counts, first: budget.counts.first + 1 };
  }

  /** Returns whether the budget covers an attempt beyond the first now. */
  covers(
    service: ServiceId,
    options: { readonly extra: ExtraAttempt; readonly now: MonotonicTime },
  ): boolean {
    if (options.extra === ExtraAttempt.Replacement) return true;
    const budget = this.#readService(service);
    earnByTime(budget, { now: options.now, max: this.#maxSaved });
    return budget.saved >= 1;
  }

  /** Counts an attempt beyond the first; replacements do not use the budget. */
  recordExtraAttempt(service: ServiceId, extra: ExtraAttempt): void {
    const budget = this.#readService(service);
    if (extra !== ExtraAttempt.Replacement) budget.saved -= 1;
    budget.counts = addCount(budget.counts, extra);
  }

  /** Returns when to decide again on a retry that the budget did not cover. */
  computeRecheckTime(now: MonotonicTime): MonotonicTime {
    return now + RECHECK_DELAY;
  }

  /** Returns the numbers of attempts of a service. */
  readCounts(service: ServiceId): RetryCounts {
    return this.#readService(service).counts;
  }

  #readService(service: ServiceId): ServiceBudget {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const counts = { first: 0, retries: 0, replacements: 0, hedges: 0 };
    const budget = { saved: INITIAL_SAVED, earnedAt: undefined, counts };
    this.#services.set(service, budget);
    return budget;
  }
}

function earnByTime(
  budget: ServiceBudget,
  input: { readonly now: MonotonicTime; readonly max: number },
): void {
  const { now } = input;
  const elapsed = Math.max(0, now - (budget.earnedAt ?? now));
  budget.earnedAt = Math.max(now, budget.earnedAt ?? now);
  const saved = budget.saved + elapsed / EARN_INTERVAL;
  budget.saved = Math.min(input.max, saved);
}

function addCount(counts: RetryCounts, extra: ExtraAttempt): RetryCounts {
  switch (extra) {
    case ExtraAttempt.Retry:
      return { ...counts, retries: counts.retries + 1 };
    case ExtraAttempt.Replacement:
      return { ...counts, replacements: counts.replacements + 1 };
    case ExtraAttempt.Hedge:
      return { ...counts, hedges: counts.hedges + 1 };
  }
}
