/** Tests of logs whose volume is bounded and whose reader may stop. */
import test from "ava";
import {
  createEventLog,
  LineLimit,
  LineRank,
  LineSink,
  LogEvent,
  type WriteBytes,
} from "./mod.ts";

/** A reader that takes what it is told to. */
class FakeReader {
  text = "";
  isStopped = false;
  readonly #held: (() => void)[] = [];

  readonly write: WriteBytes = (bytes, done) => {
    const finish = () => {
      this.text += bytes.toString();
      done(null, bytes.length);
    };
    if (this.isStopped) this.#held.push(finish);
    else queueMicrotask(finish);
  };

  resume(): void {
    this.isStopped = false;
    for (const finish of this.#held.splice(0)) finish();
  }
}

test("a reader that stops holds nothing up and is told what it missed", async (t) => {
  const reader = new FakeReader();
  const sink = new LineSink({ write: reader.write, mostWaiting: 2_000 });
  let leftOut = 0;
  const log = createEventLog({
    level: "info",
    sink,
    countDropped: (lines) => (leftOut += lines),
  });
  reader.isStopped = true;
  for (let number = 0; number < 100; number++) {
    log.info(LogEvent.RequestEnded, { request: `r${number}` });
  }
  reader.resume();
  await log.flush();
  t.regex(reader.text, /request=r0\n/);
  log.info(LogEvent.Stopped);
  await log.flush();
  t.regex(reader.text, /event=lines_left_out kind=unwritten lines=\d+/);
  t.true(leftOut > 50);
});

test("a write that takes a part, or none for now, is gone on with", async (t) => {
  let text = "";
  let calls = 0;
  const sink = new LineSink({
    write: (bytes, done) => {
      calls++;
      if (calls === 2) {
        const busy = Object.assign(new Error("busy"), { code: "EAGAIN" });
        return done(busy, 0);
      }
      const taken = Math.min(4, bytes.length);
      text += bytes.subarray(0, taken).toString();
      done(null, taken);
    },
  });
  sink.push("one line\n");
  sink.push("another\n");
  // The sink's own timers don't keep a process alive.
  const alive = setInterval(() => {}, 1_000);
  await sink.waitEmpty();
  clearInterval(alive);
  t.is(text, "one line\nanother\n");
});

test("routine lines are bounded and leave room for failures", (t) => {
  const limit = new LineLimit({
    [LineRank.Routine]: 2,
    [LineRank.Notable]: 3,
  });
  const findRank = (event: string) =>
    event === "usual" ? LineRank.Routine : LineRank.Notable;
  t.deepEqual(limit.takeLeftOut(0, findRank), []);
  const usual = [1, 2, 3, 4].map(() => limit.admit("usual", LineRank.Routine));
  t.deepEqual(usual, [true, true, false, false]);
  t.true(limit.admit("failed", LineRank.Notable));
  t.deepEqual(limit.takeLeftOut(500, findRank), []);
  t.deepEqual(limit.takeLeftOut(1_000, findRank), [
    { event: "usual", lines: 2 },
  ]);
  t.true(limit.admit("usual", LineRank.Routine));
});
