/** Decides what to do after an attempt that returned no complete answer. */
import {
  type Millis,
  type MonotonicTime,
  type RandomSource,
  Repeatability,
  RequestOutcome,
  type ServiceId,
} from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import { ExtraAttempt, type RetryBudgets } from "./retry_budget.ts";

/** What to do after a failed attempt. */
export enum RetryAction {
  /** Start another attempt at a new target after a delay, and count it. */
  Retry = "retry",
  /** Decide again after a delay: the retry budget does not cover a retry yet. */
  Wait = "wait",
  /** Return a failure to the caller. */
  GiveUp = "give-up",
}

/** The decision after a failed attempt. */
export type RetryDecision =
  | {
    readonly action: RetryAction.Retry;
    readonly after: Millis;
    readonly extra: ExtraAttempt;
    /** Number of chunks sent to the caller; the attempt must resume there. */
    readonly resumeAt?: number;
  }
  | { readonly action: RetryAction.Wait; readonly after: Millis }
  | {
    readonly action: RetryAction.GiveUp;
    readonly outcome: RequestOutcome.NotRun | RequestOutcome.Unknown;
    readonly reason: string;
  };

/** State of a request whose last attempt failed. */
export interface FailedAttempt {
  readonly service: ServiceId;
  readonly repeatability: Repeatability;
  readonly end: AttemptEnd;
  /** Whether the target or its path, and so the work, is known to be lost. */
  readonly lost: boolean;
  /** Whether an earlier attempt of this request may have reached a target. */
  readonly mayHaveRun: boolean;
  /** Attempts so far, including the failed one. */
  readonly attempts: number;
  /** Attempts so far that replaced lost work; see `ExtraAttempt.Replacement`. */
  readonly replacements: number;
  /** Number of chunks of the answer that were sent to the caller. */
  readonly passedOn: number;
  /** Whether the engine can resume a stream at a given position. */
  readonly resumable: boolean;
  readonly quarantined: boolean;
  readonly deadline: MonotonicTime;
}

const MAX_ATTEMPTS = 4;
const MAX_REPLACEMENTS = 2;
const FIRST_BACKOFF: Millis = 50;
const MAX_BACKOFF: Millis = 2_000;

/** Returns what to do after a failed attempt. */
export function decideRetry(
  failed: FailedAttempt,
  options: {
    readonly budgets: RetryBudgets;
    readonly now: MonotonicTime;
    readonly random: RandomSource;
  },
): RetryDecision {
  const giveUpReason = findGiveUpReason(failed);
  if (giveUpReason !== undefined) return createGiveUp(failed, giveUpReason);
  const extra = chooseExtraAttempt(failed);
  const { budgets, now } = options;
  if (!budgets.covers(failed.service, { extra, now })) {
    const after = budgets.computeRecheckTime(now) - now;
    return now + after >= failed.deadline
      ? createGiveUp(failed, "the retry budget has no room before the deadline")
      : { action: RetryAction.Wait, after };
  }
  const after = extra === ExtraAttempt.Replacement
    ? 0
    : computeBackoff(failed.attempts, options.random);
  if (options.now + after >= failed.deadline) {
    return createGiveUp(failed, "a retry would start after the deadline");
  }
  const resume = failed.passedOn > 0 ? { resumeAt: failed.passedOn } : {};
  return { action: RetryAction.Retry, after, extra, ...resume };
}

/** Returns whether an attempt with this end may have reached its target. */
export function hasReachedTarget(end: AttemptEnd): boolean {
  return end !== AttemptEnd.NotSent && end !== AttemptEnd.Refused;
}

/**
 * Returns the delay before the next attempt: random, below a bound that doubles
 * with each attempt up to a maximum.
 */
export function computeBackoff(attempts: number, random: RandomSource): Millis {
  const bound = Math.min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (attempts - 1));
  return random() * bound;
}

function findGiveUpReason(failed: FailedAttempt): string | undefined {
  const reached = failed.mayHaveRun || hasReachedTarget(failed.end);
  if (failed.quarantined) return "the request is quarantined";
  if (failed.end === AttemptEnd.Cancelled) return "the request was cancelled";
  if (reached && failed.repeatability === Repeatability.Once) {
    return "the request may have run and must not run twice";
  }
  if (failed.passedOn > 0 && !failed.resumable) {
    return "part of the answer was sent and the engine cannot resume it";
  }
  // A refusal or a failed connection costs a target almost nothing, so only the
  // retry budget and the deadline limit such attempts.
  if (hasReachedTarget(failed.end) && failed.attempts >= MAX_ATTEMPTS) {
    return "too many attempts failed";
  }
  return undefined;
}

function chooseExtraAttempt(failed: FailedAttempt): ExtraAttempt {
  // A request that was never sent left no work that another would duplicate.
  const lost = failed.lost || failed.end === AttemptEnd.NotSent;
  const replaceable = lost && failed.replacements < MAX_REPLACEMENTS;
  return replaceable ? ExtraAttempt.Replacement : ExtraAttempt.Retry;
}

function createGiveUp(failed: FailedAttempt, reason: string): RetryDecision {
  const reached = failed.mayHaveRun || hasReachedTarget(failed.end);
  const outcome = reached ? RequestOutcome.Unknown : RequestOutcome.NotRun;
  return { action: RetryAction.GiveUp, outcome, reason };
}
