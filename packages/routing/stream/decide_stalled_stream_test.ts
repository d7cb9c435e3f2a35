/** Tests of what is done about a stream whose target sends nothing. */
import test from "ava";
import {
  computeStallTime,
  decideStalledStream,
  StallAction,
  type StalledStream,
} from "../mod.ts";

const SOUND: StalledStream = {
  silence: 1_200,
  hasEvent: true,
  latencyGoal: 800,
  pauseGoal: 600,
  mayMoveOn: true,
  isListed: true,
  isReachable: true,
  areOthersStalled: false,
};

test("a stream is looked at after twice the goal between its events, and a second at least", (t) => {
  t.is(computeStallTime(SOUND), 1_200);
  t.is(computeStallTime({ ...SOUND, pauseGoal: 800 }), 1_600);
  t.is(computeStallTime({ ...SOUND, pauseGoal: 100 }), 1_200);
  t.is(computeStallTime({ ...SOUND, hasEvent: false }), 2_400);
});

test("a stream at a target that pauses for a second stays there", (t) => {
  t.is(decideStalledStream(SOUND), StallAction.Wait);
  const longer = { ...SOUND, silence: 1_799 };
  t.is(decideStalledStream(longer), StallAction.Wait);
});

test("a stream moves on from a target that accepts connections and stays silent", (t) => {
  const silent = { ...SOUND, silence: 1_800 };
  t.is(decideStalledStream(silent), StallAction.MoveOn);
});

test("a stream moves on at once from a dead target", (t) => {
  const unknown = { ...SOUND, isReachable: undefined };
  t.is(decideStalledStream(unknown), StallAction.Probe);
  const dead = { ...SOUND, isReachable: false };
  t.is(decideStalledStream(dead), StallAction.MoveOn);
  const gone = { ...unknown, isListed: false };
  t.is(decideStalledStream(gone), StallAction.MoveOn);
  t.is(decideStalledStream({ ...dead, silence: 1_199 }), StallAction.Wait);
});

test("while most targets are silent, streams stay where they are", (t) => {
  const fleet = { ...SOUND, silence: 10_000, areOthersStalled: true };
  t.is(decideStalledStream(fleet), StallAction.Wait);
  t.is(
    decideStalledStream({ ...fleet, isReachable: false }),
    StallAction.MoveOn,
  );
});

test("a stream that can't move on is not ended for its silence", (t) => {
  const stuck = { ...SOUND, silence: 10_000, mayMoveOn: false };
  for (const isReachable of [true, false, undefined]) {
    t.is(decideStalledStream({ ...stuck, isReachable }), StallAction.Wait);
  }
});

test("a stream without an event moves on after its limit", (t) => {
  const waiting = { ...SOUND, hasEvent: false, silence: 2_400 };
  t.is(decideStalledStream(waiting), StallAction.MoveOn);
  t.is(
    decideStalledStream({ ...waiting, silence: 2_399 }),
    StallAction.Wait,
  );
});
