/** Tests what is known of the time of a signal. */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { SignalWatch } from "./signal_watch.ts";

const BUSY_MILLIS = 300;

/** Keeps the event loop busy. */
function block(millis: number): void {
  const until = performance.now() + millis;
  while (performance.now() < until);
}

/** Sends a signal to this process, and keeps it busy until it can handle it. */
function signalWhileBusy(millis: number): Promise<void> {
  // A listener for signals alone does not keep the process running.
  const keepAlive = setInterval(() => {}, BUSY_MILLIS);
  const handled = new Promise<void>((resolve) =>
    process.once("SIGUSR2", () => {
      clearInterval(keepAlive);
      resolve();
    })
  );
  process.kill(process.pid, "SIGUSR2");
  block(millis);
  return handled;
}

// Guards against a stop that is counted from when its signal is handled.
test.serial("a signal that waited while the process was busy arrived after the time that is known of it", async (t) => {
  const watch = new SignalWatch(() => performance.now());
  const stop = watch.start();
  for (let round = 0; round < 5; round++) {
    await sleep(30 * round);
    const sentAt = performance.now();
    await signalWhileBusy(BUSY_MILLIS);
    t.true(watch.lastPollAt <= sentAt);
    t.true(performance.now() - sentAt >= BUSY_MILLIS);
  }
  stop();
});

test.serial("the time of a signal is known better once the process has polled again", async (t) => {
  const watch = new SignalWatch(() => performance.now());
  const stop = watch.start();
  const blockedAt = performance.now();
  block(BUSY_MILLIS);
  const until = blockedAt + BUSY_MILLIS;
  while (watch.lastPollAt < until) await sleep(10);
  await signalWhileBusy(0);
  t.true(watch.lastPollAt >= until);
  t.true(watch.lastPollAt <= performance.now());
  stop();
});
