/**
 * Long-lived processes on js-csp: a process waits on channels, and is stopped
 * by closing one.
 */
import csp from "js-csp";
import type { Channel, Instruction } from "js-csp";
import type { Millis, Undo } from "../core/mod.ts";

/** What a promise became, as a value that fits through a channel. */
type Settled<Value> = { readonly value: Value } | { readonly error: unknown };

/** Returns an instruction that continues with what the promise became. */
export function awaitPromise<Value>(promise: Promise<Value>): Instruction {
  const channel = csp.chan<Settled<Value>>(1);
  promise.then(
    (value) => csp.putAsync(channel, { value }),
    (error) => csp.putAsync(channel, { error }),
  );
  return csp.take(channel);
}

/** What a periodic process does and how it is told of failures. */
export interface PeriodicOptions {
  readonly interval: Millis;
  /** Between 0 and 1; spreads the VMs' turns. */
  readonly random: () => number;
  readonly run: () => Promise<void>;
  readonly reportError: (error: unknown) => void;
}

/** A process that works in turns and can be asked for a turn at once. */
export interface BackgroundProcess {
  /** Asks for a turn as soon as the one under way is over. */
  wake(): void;
  stop: Undo;
}

/** Share of the interval by which a turn may come early or late. */
const JITTER = 0.1;

/**
 * Starts a process that runs, waits for the interval or a wake-up, and runs
 * again, until it is stopped. Turns never overlap.
 */
export function startPeriodic(options: PeriodicOptions): BackgroundProcess {
  const wakeUps = csp.chan<true>(1);
  const stopped = csp.chan<never>();
  csp.go(function* () {
    for (;;) {
      const settled = yield awaitPromise(runSafely(options));
      if ("error" in settled) options.reportError(settled.error);
      const chosen = yield csp.alts(
        [stopped, wakeUps, startTimer(computeWait(options))],
        { priority: true },
      );
      if (chosen.channel === stopped) return;
    }
  });
  return {
    wake: () => void csp.offer(wakeUps, true),
    stop: () => stopped.close(),
  };
}

/** What an on-demand process does, and when. */
export interface OnDemandOptions {
  /** Returns how long to wait before the next turn. */
  readonly computeWait: () => Millis;
  /** Resolves true when there is more to do. */
  readonly run: () => Promise<boolean>;
  readonly reportError: (error: unknown) => void;
}

/**
 * Starts a process that sleeps until it is woken, then takes turns as long as
 * there is something to do. It costs nothing while it sleeps.
 */
export function startOnDemand(options: OnDemandOptions): BackgroundProcess {
  const wakeUps = csp.chan<true>(1);
  const stopped = csp.chan<never>();
  csp.go(function* () {
    let busy = false;
    for (;;) {
      if (!busy) {
        const chosen = yield csp.alts([stopped, wakeUps], { priority: true });
        if (chosen.channel === stopped) return;
      }
      const timer = startTimer(options.computeWait());
      const chosen = yield csp.alts([stopped, timer], { priority: true });
      if (chosen.channel === stopped) return;
      const settled = yield awaitPromise(runSafely(options));
      busy = "value" in settled && settled.value === true;
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
  // A synchronous throw becomes a rejection, so that the process lives on.
  return Promise.resolve().then(options.run);
}

function computeWait(options: PeriodicOptions): Millis {
  return options.interval * (1 + JITTER * (2 * options.random() - 1));
}

/** A timer channel that does not keep the process alive. */
function startTimer(duration: Millis): Channel<never> {
  const channel = csp.chan<never>();
  setTimeout(() => channel.close(), duration).unref();
  return channel;
}
