/** Tests when the comparison after a restore of the store ends. */
import test from "ava";
import { isComparisonOver } from "./restore_comparison.ts";

const SILENT = { asked: 2, answered: 0, isBehind: false, isListLoaded: true };
const ANSWERED = { ...SILENT, answered: 1 };
const BEHIND = { ...ANSWERED, isBehind: true };
const ALONE = { ...SILENT, asked: 0 };
const UNKNOWN = { ...ALONE, isListLoaded: false };

for (
  const { title, round, now, isOver } of [
    { title: "an answer", round: ANSWERED, now: 0, isOver: true },
    {
      title: "a newer one elsewhere",
      round: BEHIND,
      now: 60_000,
      isOver: false,
    },
    { title: "1,999 ms of silence", round: SILENT, now: 1_999, isOver: false },
    { title: "2 s of silence", round: SILENT, now: 2_000, isOver: true },
    { title: "999 ms alone", round: ALONE, now: 999, isOver: false },
    { title: "1 s alone", round: ALONE, now: 1_000, isOver: true },
    {
      title: "1 s without the list",
      round: UNKNOWN,
      now: 1_000,
      isOver: false,
    },
  ]
) {
  test(`a comparison ${isOver ? "ends" : "goes on"} after ${title}`, (t) => {
    t.is(isComparisonOver(round, { now, startedAt: 0 }), isOver);
  });
}
