/**
 * Retries allowed for a service: a part of its first attempts, so that a
 * brown-out is not amplified, and one every few seconds, so that the failures
 * of a quiet service are not waited out. A retry that the budget does not cover
 * yet waits for it; it is not lost.
 *
 * Bound: over a time of T seconds with F first attempts, one VM makes at most
 * `ratio * F + T / 5 + 10` retries and hedges for a service.
 */
import type { Millis, MonotonicTime, ServiceId } from "../../core/mod.ts";

/** Retries that a quiet service may have at once, unless a bound is given. */
const MOST_SAVED = 10;

/** Retries that a service has to begin with. */
const FIRST_SAVED = 2;

/** Time in which a service earns one retry whatever its traffic. */
const EARN_INTERVAL: Millis = 5_000;

/** Wait before a retry asks the budget again. */
const ASK_AGAIN: Millis = 250;

/** Attempts counted for one service. */
export interface RetryCounts {
  readonly first: number;
  readonly retries: number;
  readonly replacements: number;
  readonly hedges: number;
}

/** What an attempt beyond the first is for. */
export enum ExtraAttempt {
  /** After a failure of a target that may still be working. */
  Retry = "retry",
  /** After the target or path was lost with the work; costs no budget. */
  Replacement = "replacement",
  /** Beside a slow attempt. */
  Hedge = "hedge",
}

interface ServiceBudget {
  saved: number;
  earnedAt: MonotonicTime | undefined;
  counts: RetryCounts;
}

/** The retry budgets of all services on one VM. */
export class RetryBudgets {
  readonly #services = new Map<ServiceId, ServiceBudget>();
  #mostSaved = MOST_SAVED;

  /** Sets how many retries a quiet service may have at once. */
  changeMaxSaved(most: number): void {
    this.#mostSaved = most;
  }

  /** Counts a first attempt, which earns a part of a retry. */
  recordFirstAttempt(service: ServiceId, ratio: number): void {
    const budget = this.#readService(service);
    budget.saved = Math.min(this.#mostSaved, budget.saved + ratio);
    budget.counts = { ...budget.counts, first: budget.counts.first + 1 };
  }

  /** Returns whether the budget covers an attempt beyond the first. */
  hasRoom(
    service: ServiceId,
    options: { readonly extra: ExtraAttempt; readonly now: MonotonicTime },
  ): boolean {
    if (options.extra === ExtraAttempt.Replacement) return true;
    const budget = this.#readService(service);
    earnByTime(budget, { now: options.now, most: this.#mostSaved });
    return budget.saved >= 1;
  }

  /** Counts an attempt beyond the first. */
  recordExtraAttempt(service: ServiceId, extra: ExtraAttempt): void {
    const budget = this.#readService(service);
    if (extra !== ExtraAttempt.Replacement) budget.saved -= 1;
    budget.counts = addCount(budget.counts, extra);
  }

  /** Returns when to ask again after the budget had no room. */
  computeAskAgain(now: MonotonicTime): MonotonicTime {
    return now + ASK_AGAIN;
  }

  /** Returns what was counted for a service. */
  readCounts(service: ServiceId): RetryCounts {
    return this.#readService(service).counts;
  }

  #readService(service: ServiceId): ServiceBudget {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const counts = { first: 0, retries: 0, replacements: 0, hedges: 0 };
    const budget = { saved: FIRST_SAVED, earnedAt: undefined, counts };
    this.#services.set(service, budget);
    return budget;
  }
}

function earnByTime(
  budget: ServiceBudget,
  input: { readonly now: MonotonicTime; readonly most: number },
): void {
  const { now } = input;
  const elapsed = Math.max(0, now - (budget.earnedAt ?? now));
  budget.earnedAt = Math.max(now, budget.earnedAt ?? now);
  const saved = budget.saved + elapsed / EARN_INTERVAL;
  budget.saved = Math.min(input.most, saved);
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
