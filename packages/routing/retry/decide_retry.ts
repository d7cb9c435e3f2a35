/** Decides what follows an attempt that brought no whole answer. */
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

/** What follows a failed attempt. */
export enum RetryAction {
  /** Start another attempt at a new target after a delay, and count it. */
  Retry = "retry",
  /** Decide again after a delay: the budget has no room yet. */
  Wait = "wait",
  /** Tell the caller. */
  GiveUp = "give-up",
}

/** A decision on a failed attempt. */
export type RetryDecision =
  | {
    readonly action: RetryAction.Retry;
    readonly after: Millis;
    readonly extra: ExtraAttempt;
    /** Chunks the answer has already; the attempt must resume there. */
    readonly resumeAt?: number;
  }
  | { readonly action: RetryAction.Wait; readonly after: Millis }
  | {
    readonly action: RetryAction.GiveUp;
    readonly outcome: RequestOutcome.NotRun | RequestOutcome.Unknown;
    readonly reason: string;
  };

/** What is known of a request whose attempt failed. */
export interface FailedAttempt {
  readonly service: ServiceId;
  readonly repeatability: Repeatability;
  readonly end: AttemptEnd;
  /** The target or its path is known to be lost, and the work with it. */
  readonly lost: boolean;
  /** Whether an earlier attempt of this request may have reached a target. */
  readonly mayHaveRun: boolean;
  /** Attempts so far, this one included. */
  readonly attempts: number;
  readonly replacements: number;
  /** Chunks of the answer that the caller has been sent. */
  readonly passedOn: number;
  /** Whether the engine continues a stream at a position. */
  readonly resumable: boolean;
  readonly quarantined: boolean;
  readonly deadline: MonotonicTime;
}

const MOST_ATTEMPTS = 4;
const MOST_REPLACEMENTS = 2;
const FIRST_BACKOFF: Millis = 50;
const LONGEST_BACKOFF: Millis = 2_000;

/** Returns what to do after a failed attempt. */
export function decideRetry(
  failed: FailedAttempt,
  options: {
    readonly budgets: RetryBudgets;
    readonly now: MonotonicTime;
    readonly random: RandomSource;
  },
): RetryDecision {
  const obstacle = findObstacle(failed);
  if (obstacle !== undefined) return createGiveUp(failed, obstacle);
  const extra = chooseExtra(failed);
  const { budgets, now } = options;
  if (!budgets.hasRoom(failed.service, { extra, now })) {
    const after = budgets.computeAskAgain(now) - now;
    return now + after >= failed.deadline
      ? createGiveUp(failed, "the deadline comes before the retry budget")
      : { action: RetryAction.Wait, after };
  }
  const after = extra === ExtraAttempt.Replacement
    ? 0
    : computeBackoff(failed.attempts, options.random);
  if (options.now + after >= failed.deadline) {
    return createGiveUp(failed, "the deadline has come");
  }
  const resume = failed.passedOn > 0 ? { resumeAt: failed.passedOn } : {};
  return { action: RetryAction.Retry, after, extra, ...resume };
}

/** Returns whether an attempt that ended so may have reached the target. */
export function hasReachedTarget(end: AttemptEnd): boolean {
  return end !== AttemptEnd.NotSent && end !== AttemptEnd.Refused;
}

/** Returns a random wait below a bound that doubles with each attempt. */
export function computeBackoff(attempts: number, random: RandomSource): Millis {
  const bound = Math.min(LONGEST_BACKOFF, FIRST_BACKOFF * 2 ** (attempts - 1));
  return random() * bound;
}

function findObstacle(failed: FailedAttempt): string | undefined {
  const reached = failed.mayHaveRun || hasReachedTarget(failed.end);
  if (failed.quarantined) return "the request is quarantined";
  if (failed.end === AttemptEnd.Cancelled) return "it was cancelled";
  if (reached && failed.repeatability === Repeatability.Once) {
    return "it may have run and must not run twice";
  }
  if (failed.passedOn > 0 && !failed.resumable) {
    return "a part of the answer was sent and the engine cannot resume";
  }
  // A refusal or a failed connection costs a target next to nothing, so only
  // the budget and the deadline bound those.
  if (hasReachedTarget(failed.end) && failed.attempts >= MOST_ATTEMPTS) {
    return "too many attempts failed";
  }
  return undefined;
}

function chooseExtra(failed: FailedAttempt): ExtraAttempt {
  // What was never sent left no work behind that a new attempt would double.
  const lost = failed.lost || failed.end === AttemptEnd.NotSent;
  const replaceable = lost && failed.replacements < MOST_REPLACEMENTS;
  return replaceable ? ExtraAttempt.Replacement : ExtraAttempt.Retry;
}

function createGiveUp(failed: FailedAttempt, reason: string): RetryDecision {
  const reached = failed.mayHaveRun || hasReachedTarget(failed.end);
  const outcome = reached ? RequestOutcome.Unknown : RequestOutcome.NotRun;
  return { action: RetryAction.GiveUp, outcome, reason };
}
