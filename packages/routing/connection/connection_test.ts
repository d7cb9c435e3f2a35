/** Tests of decisions on silent and pooled connections. */
import test from "ava";
import { decideSilence, isReusable, SilenceAction } from "../mod.ts";

const BUSY = { running: 10, queued: 3 };
const IDLE = { running: 2, queued: 0 };

const SILENT = {
  lastProgress: 0,
  begun: false,
  progressTimeout: 1_000,
  capacity: 10,
};

test("the target is probed once the progress timeout has passed", (t) => {
  t.is(decideSilence(SILENT, 999), SilenceAction.Wait);
  t.is(decideSilence(SILENT, 1_000), SilenceAction.Probe);
  const old = { ...SILENT, lastProgress: 500, probe: { at: 100, load: IDLE } };
  t.is(decideSilence(old, 1_600), SilenceAction.Probe);
});

test("a target that does not answer the probe counts as dead", (t) => {
  const silent = { ...SILENT, probe: { at: 1_100 } };
  t.is(decideSilence(silent, 1_200), SilenceAction.TargetDead);
});

test("the path counts as dead if a target answers the probe and is not busy, or has begun its answer", (t) => {
  const idle = { ...SILENT, probe: { at: 1_100, load: IDLE } };
  t.is(decideSilence(idle, 1_200), SilenceAction.PathDead);
  const midway = {
    ...SILENT,
    begun: true,
    probe: { at: 1_100, load: BUSY },
  };
  t.is(decideSilence(midway, 1_200), SilenceAction.PathDead);
});

test("a busy target is given time and probed again, up to a limit", (t) => {
  const busy = { ...SILENT, probe: { at: 1_100, load: BUSY } };
  t.is(decideSilence(busy, 1_200), SilenceAction.Wait);
  t.is(decideSilence(busy, 2_200), SilenceAction.Probe);
  const still = { ...SILENT, probe: { at: 3_900, load: BUSY } };
  t.is(decideSilence(still, 4_000), SilenceAction.PathDead);
});

test("idle, old and discarded connections are not reused", (t) => {
  const fresh = { openedAt: 100_000, lastUsed: 110_000, draw: 0 };
  t.true(isReusable(fresh, { now: 111_000 }));
  t.false(isReusable(fresh, { now: 125_000 }));
  t.false(isReusable(fresh, { now: 111_000, droppedAt: 105_000 }));
  t.true(isReusable(fresh, { now: 111_000, droppedAt: 99_000 }));
  const old = { openedAt: 0, lastUsed: 299_000, draw: 0 };
  t.true(isReusable(old, { now: 299_500 }));
  t.false(isReusable(old, { now: 300_000 }));
  t.false(isReusable({ ...old, draw: 1 }, { now: 299_500 }));
});
