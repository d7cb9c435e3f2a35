/** Tests of log rate limits and of logging to a slow or paused reader. */
import test from "ava";
import {
  createEventLog,
  LineCategory,
  LineRateLimiter,
  LineSink,
  LogEvent,
  type WriteBytes,
} from "./mod.ts";

/** A log reader that can be paused; its writes finish when it resumes. */
class FakeReader {
  text = "";
  isPaused = false;
  readonly #pendingWrites: (() => void)[] = [];

  readonly write: WriteBytes = (bytes, done) => {
    const finish = () => {
      this.text += bytes.toString();
      done(null, bytes.length);
    };
    if (this.isPaused) this.#pendingWrites.push(finish);
    else queueMicrotask(finish);
  };

  resume(): void {
    this.isPaused = false;
    for (const finish of this.#pendingWrites.splice(0)) finish();
  }
}

test("a paused reader does not block logging, and the number of dropped lines is logged", async (t) => {
  const reader = new FakeReader();
  const sink = new LineSink({ write: reader.write, maxPendingBytes: 2_000 });
  let droppedLines = 0;
  const log = createEventLog({
    level: "info",
    sink,
    countDropped: (lines) => (droppedLines += lines),
  });
  reader.isPaused = true;
  for (let number = 0; number < 100; number++) {
    log.info(LogEvent.RequestEnded, { request: `r${number}` });
  }
  reader.resume();
  await log.flush();
  t.regex(reader.text, /request=r0\n/);
  log.info(LogEvent.Stopped);
  await log.flush();
  t.regex(reader.text, /event=lines_left_out kind=unwritten lines=\d+/);
  t.true(droppedLines > 50);
});

test("a partial write is continued, and one that fails with EAGAIN is retried", async (t) => {
  let text = "";
  let calls = 0;
  const sink = new LineSink({
    write: (bytes, done) => {
      calls++;
      if (calls === 2) {
        const busy = Object.assign(new Error("busy"), { code: "EAGAIN" });
        return done(busy, 0);
      }
      const written = Math.min(4, bytes.length);
      text += bytes.subarray(0, written).toString();
      done(null, written);
    },
  });
  sink.push("one line\n");
  sink.push("another\n");
  // The sink's timers are unreferenced and do not keep the process alive.
  const keepAliveTimer = setInterval(() => {}, 1_000);
  await sink.waitUntilEmpty();
  clearInterval(keepAliveTimer);
  t.is(text, "one line\nanother\n");
});

test("routine lines are limited separately from failures", (t) => {
  const limiter = new LineRateLimiter({
    [LineCategory.Routine]: 2,
    [LineCategory.Notable]: 3,
  });
  const findCategory = (event: string) =>
    event === "usual" ? LineCategory.Routine : LineCategory.Notable;
  t.deepEqual(limiter.takeDropped(0, findCategory), []);
  const admitted = [1, 2, 3, 4].map(() =>
    limiter.admit("usual", LineCategory.Routine)
  );
  t.deepEqual(admitted, [true, true, false, false]);
  t.true(limiter.admit("failed", LineCategory.Notable));
  t.deepEqual(limiter.takeDropped(500, findCategory), []);
  t.deepEqual(limiter.takeDropped(1_000, findCategory), [
    { event: "usual", lines: 2 },
  ]);
  t.true(limiter.admit("usual", LineCategory.Routine));
});
