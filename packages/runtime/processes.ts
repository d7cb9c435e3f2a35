/**
 * Background processes based on js-csp. A process is a coroutine, not an
 * operating system process: it waits on channels and ends when its stop channel
 * is closed.
 */
import csp from "js-csp";
import type { Channel, Instruction } from "js-csp";
import type { Millis, Undo } from "../core/mod.ts";

/**
 * Result of a settled promise, as a value that can be sent through a channel.
 */
type Settled<Value> = { readonly value: Value } | { readonly error: unknown };

/**
 * Returns an instruction that waits for a promise to settle and results in its
 * value or error.
 */
export function awaitPromise<Value>(promise: Promise<Value>): Instruction {
  const channel = csp.chan<Settled<Value>>(1);
  promise.then(
    (value) => csp.putAsync(channel, { value }),
    (error) => csp.putAsync(channel, { error }),
  );
  return csp.take(channel);
}

/** Options of a periodic process. */
export interface PeriodicOptions {
  /** Average delay between two runs, in milliseconds. */
  readonly interval: Millis;
  /** Returns a number from 0 to 1; it varies the delay between two runs. */
  readonly random: () => number;
  /** Does the work of one run. */
  readonly run: () => Promise<void>;
  /** Called with the error of a failed run; the process continues. */
  readonly reportError: (error: unknown) => void;
}

/** A background process that executes runs and can be woken for another one. */
export interface BackgroundProcess {
  /** Requests another run. A run in progress is completed first. */
  wake(): void;
  /** Ends the process after the run in progress, if there is one. */
  stop: Undo;
}

/**
 * Fraction of the interval by which a run may start early or late, so that the
 * runs of different VMs are spread.
 */
const JITTER = 0.1;

/**
 * Starts a process that executes a run at once and then again after each
 * interval or wake-up, until it is stopped. Runs never overlap.
 */
export function startPeriodic(options: PeriodicOptions): BackgroundProcess {
  const wakeUps = csp.chan<true>(1);
  const stopped = csp.chan<never>();
  csp.go(function* () {
    for (;;) {
      const settled = yield awaitPromise(runSafely(options));
      if ("error" in settled) options.reportError(settled.error);
      const selected = yield csp.alts(
        [stopped, wakeUps, startTimer(computeWait(options))],
        { priority: true },
      );
      if (selected.channel === stopped) return;
    }
  });
  return {
    wake: () => void csp.offer(wakeUps, true),
    stop: () => stopped.close(),
  };
}

/** Options of an on-demand process. */
export interface OnDemandOptions {
  /** Returns how long to wait before the next run. */
  readonly computeWait: () => Millis;
  /** Does the work of one run; resolves to true if there is more to do. */
  readonly run: () => Promise<boolean>;
  /** Called with the error of a failed run; the process continues. */
  readonly reportError: (error: unknown) => void;
}

/**
 * Starts a process that waits until it is woken, then executes runs as long as
 * there is more to do, with the computed delay before each. It uses no timer
 * while it waits for a wake-up.
 */
export function startOnDemand(options: OnDemandOptions): BackgroundProcess {
  const wakeUps = csp.chan<true>(1);
  const stopped = csp.chan<never>();
  csp.go(function* () {
    let workRemains = false;
    for (;;) {
      if (!workRemains) {
        const selected = yield csp.alts([stopped, wakeUps], { priority: true });
        if (selected.channel === stopped) return;
      }
      const timer = startTimer(options.computeWait());
      const selected = yield csp.alts([stopped, timer], { priority: true });
      if (selected.channel === stopped) return;
      const settled = yield awaitPromise(runSafely(options));
      workRemains = "value" in settled && settled.value === true;
      if ("error" in settled) options.reportError(settled.error);
    }
  });
  return {
    wake: () => void csp.offer(wakeUps, true),
    stop: () => stopped.close(),
  };
}

function runSafely<Result>(
  options: { readonly run: () => Promise<Result> },
): Promise<Result> {
  // Turns a synchronous throw into a rejection, so that the process continues.
  return Promise.resolve().then(options.run);
}

function computeWait(options: PeriodicOptions): Millis {
  return options.interval * (1 + JITTER * (2 * options.random() - 1));
}

/**
 * Returns a channel that is closed after a duration. Its timer does not keep
 * the Node.js process alive.
 */
function startTimer(duration: Millis): Channel<never> {
  const channel = csp.chan<never>();
  setTimeout(() => channel.close(), duration).unref();
  return channel;
}
