/** Tests that a crash of a target is told from other lost connections. */
import test from "ava";
import { CrashWatch, type LostAttempt } from "../mod.ts";

function createAttempt(part: string): LostAttempt {
  return { parts: [part], hasHead: true };
}

function recordLost(watch: CrashWatch, part: string, now: number) {
  return watch.recordLost("t1", {
    incarnation: "1",
    attempt: createAttempt(part),
    now,
  });
}

test("lost connections to a target that takes new ones are no crash", (t) => {
  const watch = new CrashWatch();
  t.is(recordLost(watch, "a", 0), undefined);
  t.is(recordLost(watch, "b", 100), undefined);
  const listed = { incarnation: "1", now: 200 };
  t.is(watch.recordListed("t1", listed), undefined);
});

test("refused connections without a lost one are no crash", (t) => {
  const watch = new CrashWatch();
  t.is(watch.recordRefused("t1", 0), undefined);
  recordLost(watch, "a", 0);
  t.is(watch.recordRefused("t2", 100), undefined);
});

test("a refused connection after lost ones is one crash, with later losses added", (t) => {
  const watch = new CrashWatch();
  recordLost(watch, "a", 10);
  recordLost(watch, "b", 20);
  const crash = watch.recordRefused("t1", 30);
  t.is(crash?.at, 10);
  t.deepEqual(crash?.attempts.flatMap((each) => each.parts), ["a", "b"]);
  t.is(watch.recordRefused("t1", 40), undefined);
  const later = recordLost(watch, "c", 50);
  t.deepEqual(later?.attempts.flatMap((each) => each.parts), ["c"]);
  t.is(later?.at, 10);
});

test("a target that is listed with another incarnation has crashed", (t) => {
  const watch = new CrashWatch();
  recordLost(watch, "a", 0);
  const listed = { incarnation: "2", now: 1_000 };
  t.is(watch.recordListed("t1", listed)?.incarnation, "1");
  t.is(watch.recordListed("t1", listed), undefined);
});

test("a connection that is refused long after one was lost is no crash", (t) => {
  const watch = new CrashWatch();
  recordLost(watch, "a", 0);
  t.is(watch.recordRefused("t1", 60_000), undefined);
});
