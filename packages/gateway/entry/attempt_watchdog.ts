/**
 * Cancels one attempt when its caller disconnects, when its deadline or the time
 * of a planned stop passes and, if another target may resume the stream, when
 * its target stops sending.
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

/** Timeout for the first event, as a multiple of the route's latency goal. */
const FIRST_EVENT_TIMEOUT_FACTOR = 3;

/** Timeout between events, as a multiple of the route's pause goal. */
const PAUSE_TIMEOUT_FACTOR = 2;

/**
 * Lower bound of both timeouts, after which a target that sends nothing counts
 * as failed.
 */
const MIN_IDLE_TIMEOUT: Millis = 1_200;

/** Pause goal of routes that don't state one. */
const DEFAULT_PAUSE_GOAL: Millis = 600;

/** Cancels an attempt that is no longer useful, and records the reason. */
export class AttemptWatchdog {
  readonly #controller = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #call: RoutedCall;
  readonly #hasIdleTimeout: boolean;
  readonly #handleDisconnect = () => this.#abort("the caller disconnected");
  readonly #handleStop = () => this.#abort("the VM stops");
  #idleTimer: NodeJS.Timeout | undefined;
  #reason: string | undefined;
  #isIdle = false;

  constructor(
    call: RoutedCall,
    input: { readonly now: MonotonicTime; readonly resumable: boolean },
  ) {
    this.#call = call;
    this.#hasIdleTimeout = input.resumable;
    this.#deadlineTimer = setTimeout(
      () => this.#abort("the deadline passed"),
      Math.max(0, call.deadline - input.now),
    );
    // A request for a single answer that is not repeatable is not cancelled
    // when its caller disconnects, since it may take effect anyway.
    const endsOnDisconnect = call.route.form === AnswerForm.Events ||
      call.route.repeatability === Repeatability.Repeatable;
    if (endsOnDisconnect) {
      call.exchange.disconnectSignal.addEventListener(
        "abort",
        this.#handleDisconnect,
        { once: true },
      );
    }
    call.stopSignal.addEventListener("abort", this.#handleStop, { once: true });
    this.#restartIdleTimer(
      Math.max(
        MIN_IDLE_TIMEOUT,
        FIRST_EVENT_TIMEOUT_FACTOR * call.route.latencyGoal,
      ),
    );
  }

  /** Aborted when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Restarts the idle timeout after data from the target. */
  recordProgress(): void {
    const pause = this.#call.route.pauseGoal ?? DEFAULT_PAUSE_GOAL;
    this.#restartIdleTimer(
      Math.max(MIN_IDLE_TIMEOUT, PAUSE_TIMEOUT_FACTOR * pause),
    );
  }

  /** Stops all timers and listeners once the attempt has ended. */
  stop(): void {
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#idleTimer);
    this.#call.exchange.disconnectSignal.removeEventListener(
      "abort",
      this.#handleDisconnect,
    );
    this.#call.stopSignal.removeEventListener("abort", this.#handleStop);
  }

  /** Adds the reason of the cancellation to a failure, if there is one. */
  explainFailure(failure: AttemptFailure): AttemptFailure {
    if (this.#reason === undefined) return failure;
    // An attempt that reached its idle timeout counts as broken rather than
    // cancelled, so that another target may resume the stream.
    const end = this.#isIdle && failure.end === AttemptEnd.Cancelled
      ? AttemptEnd.Broken
      : failure.end;
    return { ...failure, end, detail: this.#reason };
  }

  #restartIdleTimer(limit: Millis): void {
    if (!this.#hasIdleTimeout) return;
    clearTimeout(this.#idleTimer);
    this.#idleTimer = setTimeout(() => {
      this.#isIdle = true;
      this.#abort(`no data for ${Math.round(limit)} ms`);
    }, limit);
  }

  #abort(reason: string): void {
    this.#reason ??= reason;
    this.#controller.abort();
  }
}
