/** Tests of which targets count as stalled. */
import test from "ava";
import { StreamActivity } from "./stream_activity.ts";

test("others are stalled if half of those with streams of the service sent nothing for a second", (t) => {
  const activity = new StreamActivity();
  const service = "llm";
  t.false(activity.areOthersStalled("a", { service, now: 5_000 }));
  for (const target of ["a", "b", "c"]) {
    activity.recordStart(target, { service, now: 0 });
  }
  activity.recordStart("other", { service: "vision", now: 0 });
  t.false(activity.areOthersStalled("a", { service, now: 999 }));
  t.true(activity.areOthersStalled("a", { service, now: 1_000 }));
  activity.recordEvent("b", 900);
  t.true(activity.areOthersStalled("a", { service, now: 1_000 }));
  activity.recordEvent("c", 900);
  t.false(activity.areOthersStalled("a", { service, now: 1_000 }));
});

test("a target without streams in progress is not counted", (t) => {
  const activity = new StreamActivity();
  const service = "llm";
  activity.recordStart("b", { service, now: 0 });
  activity.recordStart("b", { service, now: 500 });
  activity.recordEnd("b");
  t.true(activity.areOthersStalled("a", { service, now: 2_000 }));
  activity.recordEnd("b");
  t.false(activity.areOthersStalled("a", { service, now: 2_000 }));
});
