/**
 * Watches one attempt: it ends when its caller leaves, when its time is over,
 * and, where another target may go on, when its target falls silent.
 */
import {
  type Millis,
  type MonotonicTime,
  Repeatability,
} from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import { AnswerForm } from "../../routes/mod.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { AttemptFailure } from "./target_exchange.ts";

/** Silence before the first event that counts as a lost target, in goals. */
const FIRST_EVENT_SILENCE_FACTOR = 3;

/** Silence between events that counts as a lost target, in pause goals. */
const PAUSE_SILENCE_FACTOR = 2;

/** Least silence that counts as a lost target. */
const MIN_SILENCE_TIMEOUT: Millis = 1_200;

/** Pause goal of routes that state none. */
const DEFAULT_PAUSE_GOAL: Millis = 600;

/** Ends an attempt that has no use any more, and says why. */
export class AttemptWatchdog {
  readonly #controller = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #call: RoutedCall;
  readonly #detectsSilence: boolean;
  readonly #handleDisconnect = () => this.#abort("the caller left");
  #silenceTimer: NodeJS.Timeout | undefined;
  #reason: string | undefined;
  #isSilent = false;

  constructor(
    call: RoutedCall,
    input: { readonly now: MonotonicTime; readonly resumable: boolean },
  ) {
    this.#call = call;
    this.#detectsSilence = input.resumable;
    this.#deadlineTimer = setTimeout(
      () => this.#abort("the time for it was over"),
      Math.max(0, call.deadline - input.now),
    );
    // What may not be repeated goes on, since it may take effect anyway.
    const isCancellable = call.route.form === AnswerForm.Events ||
      call.route.repeatability === Repeatability.Repeatable;
    if (isCancellable) {
      call.exchange.disconnectSignal.addEventListener(
        "abort",
        this.#handleDisconnect,
        { once: true },
      );
    }
    this.#restartSilenceTimer(
      Math.max(
        MIN_SILENCE_TIMEOUT,
        FIRST_EVENT_SILENCE_FACTOR * call.route.latencyGoal,
      ),
    );
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Notes a sign of life. */
  recordProgress(): void {
    const pause = this.#call.route.pauseGoal ?? DEFAULT_PAUSE_GOAL;
    this.#restartSilenceTimer(
      Math.max(MIN_SILENCE_TIMEOUT, PAUSE_SILENCE_FACTOR * pause),
    );
  }

  stop(): void {
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#silenceTimer);
    this.#call.exchange.disconnectSignal.removeEventListener(
      "abort",
      this.#handleDisconnect,
    );
  }

  /** Returns a failure with the watch's own reason, where it has one. */
  explainFailure(failure: AttemptFailure): AttemptFailure {
    if (this.#reason === undefined) return failure;
    // A silent target is a broken one: another may go on.
    const end = this.#isSilent && failure.end === AttemptEnd.Cancelled
      ? AttemptEnd.Broken
      : failure.end;
    return { ...failure, end, detail: this.#reason };
  }

  #restartSilenceTimer(limit: Millis): void {
    if (!this.#detectsSilence) return;
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = setTimeout(() => {
      this.#isSilent = true;
      this.#abort(`silent for ${Math.round(limit)} ms`);
    }, limit);
  }

  #abort(reason: string): void {
    this.#reason ??= reason;
    this.#controller.abort();
  }
}
