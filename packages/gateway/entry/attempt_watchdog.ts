/**
 * Cancels one attempt when its caller disconnects, when its deadline or the time
 * of a planned stop passes and, if another target can resume the stream, when
 * its target has stopped sending.
 */
import {
  type Clock,
  type Millis,
  type MonotonicTime,
  Repeatability,
} from "../../core/mod.ts";
import { AttemptEnd, describeError } from "../../ports/mod.ts";
import {
  computeStallTime,
  decideStalledStream,
  StallAction,
  type StalledStream,
} from "../../routing/mod.ts";
import { AnswerForm } from "../../routes/mod.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { AttemptFailure } from "./target_exchange.ts";

/** Pause goal of routes that don't state one. */
const DEFAULT_PAUSE_GOAL: Millis = 600;

/** Interval at which a stalled stream is looked at again. */
const STALL_CHECK_INTERVAL: Millis = 200;

/** What decides about a stalled stream, besides its route and its silence. */
export interface StallSupport {
  /** Returns what is known of the stream's target and of the others. */
  assess(): Pick<StalledStream, "mayMoveOn" | "isListed" | "areOthersStalled">;
  /** Resolves to whether the target's machine accepts connections. */
  probe(): Promise<boolean>;
  /** Called before the attempt is ended so that the stream can move on. */
  reserveMove(): void;
}

/** Cancels an attempt that is no longer useful, and records the reason. */
export class AttemptWatchdog {
  readonly #controller = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #call: RoutedCall;
  readonly #clock: Clock;
  readonly #stall: StallSupport | undefined;
  readonly #handleDisconnect = () => this.#abort("the caller disconnected");
  readonly #handleStop = () => this.#abort("the VM stops");
  #stallTimer: NodeJS.Timeout | undefined;
  /** When the last event arrived, or when the attempt began. */
  #lastProgress: MonotonicTime;
  #hasEvent = false;
  /** Result of the probe since then. */
  #isReachable: boolean | undefined;
  #reason: string | undefined;
  #hasMovedOn = false;
  #isStopped = false;

  constructor(
    call: RoutedCall,
    input: {
      readonly clock: Clock;
      /** Absent if no other target may resume the stream. */
      readonly stall: StallSupport | undefined;
    },
  ) {
    this.#call = call;
    this.#clock = input.clock;
    this.#stall = input.stall;
    this.#lastProgress = input.clock.readMonotonic();
    this.#deadlineTimer = setTimeout(
      () => this.#abort("the deadline passed"),
      Math.max(0, call.deadline - this.#lastProgress),
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
    this.#startStallTimer(computeStallTime(this.#readStream()));
  }

  /** Aborted when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Records that an event has arrived. */
  recordProgress(): void {
    this.#lastProgress = this.#clock.readMonotonic();
    this.#hasEvent = true;
    this.#isReachable = undefined;
    this.#startStallTimer(computeStallTime(this.#readStream()));
  }

  /** Stops all timers and listeners once the attempt has ended. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#stallTimer);
    this.#call.exchange.disconnectSignal.removeEventListener(
      "abort",
      this.#handleDisconnect,
    );
    this.#call.stopSignal.removeEventListener("abort", this.#handleStop);
  }

  /** Adds the reason of the cancellation to a failure, if there is one. */
  explainFailure(failure: AttemptFailure): AttemptFailure {
    if (this.#reason === undefined) return failure;
    // An attempt from which the stream moves on counts as broken rather than
    // cancelled, so that another target may resume it.
    const end = this.#hasMovedOn && failure.end === AttemptEnd.Cancelled
      ? AttemptEnd.Broken
      : failure.end;
    return { ...failure, end, detail: this.#reason };
  }

  #readStream() {
    const { latencyGoal, pauseGoal = DEFAULT_PAUSE_GOAL } = this.#call.route;
    return { hasEvent: this.#hasEvent, latencyGoal, pauseGoal };
  }

  #startStallTimer(wait: Millis): void {
    clearTimeout(this.#stallTimer);
    const stall = this.#stall;
    if (stall === undefined || this.#controller.signal.aborted) return;
    this.#stallTimer = setTimeout(() => {
      this.#checkStall(stall)
        .catch((error) => this.#abort(`stall check: ${describeError(error)}`));
    }, wait);
  }

  async #checkStall(stall: StallSupport): Promise<void> {
    const silence = this.#clock.readMonotonic() - this.#lastProgress;
    const action = decideStalledStream({
      ...this.#readStream(),
      ...stall.assess(),
      silence,
      isReachable: this.#isReachable,
    });
    if (action === StallAction.MoveOn) {
      stall.reserveMove();
      this.#hasMovedOn = true;
      return this.#abort(`no data for ${Math.round(silence)} ms`);
    }
    if (action === StallAction.Wait) {
      return this.#startStallTimer(STALL_CHECK_INTERVAL);
    }
    const since = this.#lastProgress;
    const isReachable = await stall.probe();
    // Ended, or an event has arrived meanwhile, which has started the timer.
    if (this.#isStopped || since !== this.#lastProgress) return;
    this.#isReachable = isReachable;
    await this.#checkStall(stall);
  }

  #abort(reason: string): void {
    this.#reason ??= reason;
    this.#controller.abort();
  }
}
